//! By what order waiting accounts are served.

/// The order in which waiting accounts are served: the product's, and two baselines to measure by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The account furthest behind in service per weight over the whole fleet.
    #[default]
    Fair,
    /// The account with the oldest waiting request: first come, first served.
    Fifo,
    /// The account furthest behind in what this host alone has given.
    PerHost,
}
