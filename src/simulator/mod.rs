//! The interface to the simulator, which runs the decision module without sockets.

pub mod pipe;
