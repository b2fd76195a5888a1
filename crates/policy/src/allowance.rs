//! Cold-start allowance of an upstream and its ramp.
