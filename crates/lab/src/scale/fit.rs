//! Percentiles of measured times, and straight lines through measured costs.

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::Serialize;

/// The value that so many parts of all values don't exceed, by the nearest rank; none where there are no values.
pub fn percentile(values: &[f64], part: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil().max(1.0) as usize;
    sorted.get(rank - 1).copied()
}

/// A measured cost at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Heads.
    pub heads: f64,
    /// Storage nodes.
    pub nodes: f64,
    /// What was measured.
    pub cost: f64,
}

/// Cost as a straight line of both sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plane {
    /// Cost of a fleet of no size.
    pub base: f64,
    /// Cost of each head more.
    pub per_head: f64,
    /// Cost of each node more.
    pub per_node: f64,
    /// Part of the variance that the line explains.
    pub explained: f64,
    /// Standard error of the estimate.
    pub error: f64,
    /// What is left of each point, in the points' order.
    pub residuals: Vec<f64>,
}

impl Plane {
    /// Fits one by least squares; it takes at least four points, off one line.
    ///
    /// # Errors
    ///
    /// The regression has no solution, for example because there are too few points.
    pub fn fit(points: &[Point]) -> Result<Plane, linregress::Error> {
        let column = |of: fn(&Point) -> f64| points.iter().map(of).collect::<Vec<f64>>();
        let data = vec![
            ("cost", column(|p| p.cost)),
            ("heads", column(|p| p.heads)),
            ("nodes", column(|p| p.nodes)),
        ];
        let data = RegressionDataBuilder::new().build_from(data)?;
        let builder = FormulaRegressionBuilder::new().data(&data).formula("cost ~ heads + nodes");
        let model = builder.fit()?;
        let parameter = |place: usize| model.parameters().get(place).copied().unwrap_or_default();
        let (base, per_head, per_node) = (parameter(0), parameter(1), parameter(2));
        let residuals = model.residuals().to_vec();
        Ok(Plane {
            base,
            per_head,
            per_node,
            explained: model.rsquared(),
            error: model.scale().sqrt(),
            residuals,
        })
    }

    /// The cost of a size by the line.
    pub fn at(&self, heads: f64, nodes: f64) -> f64 {
        self.base + self.per_head * heads + self.per_node * nodes
    }
}
