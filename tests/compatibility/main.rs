//! Tests the compatibility with release dade8db: stored data, messages between store nodes, the simulator's pipe, and the keys of
//! the settings and the configuration.
//!
//! The files in `data/` were written by dade8db. The recorded exchanges in `tests/exchanges/` check the bytes of both client fronts,
//! of the calls to leaf servers and discovery, of the handover and of VRRP, and the operators' pages. The unit tests of the handover
//! decode and encode a complete `state` line.

mod peer_messages;
mod settings_keys;
mod simulator_pipe;
mod stored_registers;
