//! Client side of the platform's table service.
//!
//! A table stores rows under text keys. Every row has a version, and every write is conditional on
//! the version that it replaces, so that concurrent writers cannot overwrite each other's rows.

mod http;
mod table;

pub use crate::http::{HttpTable, TableSettings};
pub use table::{
    Condition, MAX_TRANSACTION_ROWS, Refused, Row, StoreError, Table, TableFuture, Transacted,
    Write,
};
