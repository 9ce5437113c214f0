//! Settings that concern the wires only: names, deadlines of clients, and times of connections.

/// What the frontends, the connections to nodes and discovery need of the settings.
#[derive(Clone, Debug, Default)]
pub struct WireSettings {
    /// Names of the load report's values, in their order.
    pub report_names: Vec<String>,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Whether each class writes.
    pub class_writes: Vec<bool>,
    /// How long each class's clients wait for an answer, in seconds.
    pub class_deadlines: Vec<f64>,
    /// Names of the plans, by index.
    pub plan_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Seconds after which an attempt to connect has failed.
    pub connect_timeout: f64,
    /// Seconds after which a node closes an idle connection at the latest.
    pub conn_idle: f64,
    /// Seconds in which sends to a draining node must end, once the list says that it drains.
    pub drain_grace: f64,
}
