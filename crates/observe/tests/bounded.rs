//! The volume of logs stays bounded, and what was left out is counted.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use camphorloft_observe::bounded::{Bounded, LINES_PER_WINDOW};
use slog::{Drain, Level, OwnedKVList, Record};

/// Records the levels that pass.
struct Recorder(Rc<RefCell<Vec<Level>>>);

impl Drain for Recorder {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, line: &Record<'_>, _values: &OwnedKVList) -> Result<(), io::Error> {
        self.0.borrow_mut().push(line.level());
        Ok(())
    }
}

#[test]
fn only_warnings_pass_beyond_the_rate() {
    let passed = Rc::new(RefCell::new(Vec::new()));
    let bounded = Bounded::new(Recorder(passed.clone()));
    let values = slog::o!().into();
    for _ in 0..3 * LINES_PER_WINDOW {
        let line = slog::record!(Level::Info, "", &format_args!("decided"), slog::b!());
        bounded.log(&line, &values).unwrap();
    }
    let line = slog::record!(Level::Warning, "", &format_args!("lost"), slog::b!());
    bounded.log(&line, &values).unwrap();
    let passed = passed.borrow();
    let infos = passed.iter().filter(|level| **level == Level::Info).count();
    assert!(infos <= LINES_PER_WINDOW as usize * 2, "two windows at most: {infos}");
    assert_eq!(passed.last(), Some(&Level::Warning));
}
