//! HTML page with plots of a comparison.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use super::{PolicyResult, PolicyRow};

const PLOT_SIZE: (u32, u32) = (760, 320);
const BAR_WIDTH: f64 = 0.8;

/// Tokens per second over time, of one policy.
pub struct Curve {
    /// Name of the policy.
    pub name: String,
    /// Pairs of time in seconds and tokens per second.
    pub points: Vec<(f64, f64)>,
}

/// A figure that is plotted as bars.
struct Bars {
    title: &'static str,
    value: fn(&PolicyRow) -> f64,
}

const BARS: [Bars; 5] = [
    Bars { title: "stall seconds per generation, mean", value: |row| row.stall_seconds_mean },
    Bars {
        title: "preemptions per thousand generations",
        value: |row| row.preemptions_per_thousand,
    },
    Bars { title: "moves per thousand generations", value: |row| row.migrations_per_thousand },
    Bars { title: "time to first token, p95, ms", value: |row| row.first_token_ms_p95 },
    Bars { title: "goodput, tokens/s", value: |row| row.goodput_tokens_per_second },
];

/// Writes `index.html` to a directory and returns its path.
pub fn write(dir: &Path, result: &PolicyResult, curves: &[Curve]) -> io::Result<PathBuf> {
    fs::create_dir_all(dir)?;
    let mut html = format!(
        "<!doctype html><meta charset=utf-8><title>{0}</title><h1>{0}, {1} seeds</h1>\n",
        result.workload, result.seeds
    );
    html.push_str(&format!("<h2>tokens per second, first seed</h2>\n{}", plot_curves(curves)?));
    for bars in &BARS {
        html.push_str(&format!("<h2>{}</h2>\n{}", bars.title, plot_bars(bars, &result.policies)?));
    }
    let path = dir.join("index.html");
    fs::write(&path, html)?;
    Ok(path)
}

fn plot_error<E>(err: E) -> io::Error
where
    E: std::fmt::Display,
{
    io::Error::other(err.to_string())
}

fn color(ix: usize) -> RGBColor {
    let (r, g, b) = Palette99::COLORS[ix % Palette99::COLORS.len()];
    RGBColor(r, g, b)
}

fn plot_curves(curves: &[Curve]) -> io::Result<String> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let width = points().map(|point| point.0).fold(1.0, f64::max);
    let height = points().map(|point| point.1).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..width, 0.0..height * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(plot_error)?;
        for (ix, curve) in curves.iter().enumerate() {
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), color(ix)))
                .map_err(plot_error)?
                .label(curve.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color(ix)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn plot_bars(bars: &Bars, rows: &[PolicyRow]) -> io::Result<String> {
    let height = rows.iter().map(|row| (bars.value)(row)).fold(f64::EPSILON, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..rows.len() as f64, 0.0..height * 1.15)
            .map_err(plot_error)?;
        chart.configure_mesh().disable_x_mesh().disable_x_axis().draw().map_err(plot_error)?;
        for (ix, row) in rows.iter().enumerate() {
            let (left, value) = (ix as f64, (bars.value)(row));
            let bar = Rectangle::new([(left, 0.0), (left + BAR_WIDTH, value)], color(ix).filled());
            let text = format!("{} {value:.2}", row.name);
            let label = Text::new(text, (left, value + height * 0.06), ("sans-serif", 11));
            chart.draw_series([bar]).map_err(plot_error)?;
            chart.draw_series([label]).map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}
