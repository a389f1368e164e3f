//! Package of the measurement programs, which are its example `measure`.

pub mod losses;
