//! Drives real decision cores in virtual time through small fakes.
