//! Tests of the wire types.

mod instances;
