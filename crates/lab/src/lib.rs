//! A model of an installation in virtual time: heads that run the real decision module and the real levels before
//! modelled nodes, to try a decision on before it is believed. What it says holds for the model; the sizes that it
//! was run at are printed with it.

pub mod clock;
pub mod fleet;
pub mod guard;
pub mod levels;
pub mod load;
pub mod measure;
pub mod node;
pub mod scale;
pub mod sim;
