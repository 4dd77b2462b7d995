//! A desk with orders that the test answers by hand.
#![allow(dead_code, unused_imports)]

mod scene;

pub use scene::{DeskScene, POOL, QUEUE, SPACE, ended, plan, running, step, target};
