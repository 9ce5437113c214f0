//! Settings of network I/O, which the scheduler does not need: names on the wire, client deadlines and connection timeouts.

/// The settings used by the frontends, the node transport and discovery.
#[derive(Clone, Debug, Default)]
pub struct WireSettings {
    /// Names of the values in a load report, in their order on the wire.
    pub report_names: Vec<String>,
    /// Name of each class, by class index.
    pub class_names: Vec<String>,
    /// Whether requests of each class write, by class index.
    pub class_writes: Vec<bool>,
    /// Request deadline of each class, in seconds, by class index.
    pub class_deadlines: Vec<f64>,
    /// Name of each plan, by plan index.
    pub plan_names: Vec<String>,
    /// Name of each zone, by zone index.
    pub zone_names: Vec<String>,
    /// Timeout for connecting to a node, in seconds.
    pub connect_timeout: f64,
    /// Idle timeout of nodes, in seconds: a node closes an idle connection after this time at the latest.
    pub conn_idle: f64,
    /// Time, in seconds, within which the head must stop sending requests to a node after the endpoint list marks the node
    /// as draining.
    pub drain_grace: f64,
}
