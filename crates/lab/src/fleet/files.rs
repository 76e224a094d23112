//! Files for a fleet of real processes.
