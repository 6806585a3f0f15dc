use super::Sweep;

const OUTPUT: &str = "\
day                  own/srv  score
sweep-10              13/100   0.64

middle / busiest or longest, by own machines
                               10              30  power  at 443
host: processor %       7.2 / 9.1      5.8 / 12.2   0.79  180
config in force, ms   0.00 / 71.0     0.00 / 93.0  -0.16  0.00
power: the busiest grows as machines to this power
";

#[test]
fn the_table_of_a_sweep_is_read() {
    let markdown = Sweep::parse(OUTPUT).unwrap().to_markdown();
    let expected = "\
| | 10 | 30 | power | at 443 |
|---|---:|---:|---:|---:|
| host: processor % | 7.2 / 9.1 | 5.8 / 12.2 | 0.79 | 180 |
| config in force, ms | 0.00 / 71.0 | 0.00 / 93.0 | -0.16 | 0.00 |
";
    assert_eq!(markdown, expected);
}

#[test]
fn output_without_a_complete_table_is_an_error() {
    assert_eq!(Sweep::parse("sweep-10 is played\n"), None);
    assert_eq!(Sweep::parse(&OUTPUT.replace("0.79  180", "0.79")), None);
}
