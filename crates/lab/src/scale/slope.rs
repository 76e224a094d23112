//! Linear regression with the standard error of the slope.

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};

/// Fitted line `value = base + per_unit * size`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Value at size 0.
    pub base: f64,
    /// Increase per unit of size.
    pub per_unit: f64,
    /// Standard error of `per_unit`.
    pub error: f64,
}

impl Slope {
    /// Fits a line by least squares; returns zeros if the points do not determine one.
    pub fn fit(points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        let (sizes, values): (Vec<f64>, Vec<f64>) = points.into_iter().unzip();
        Self::try_fit(sizes, values).unwrap_or_default()
    }

    fn try_fit(sizes: Vec<f64>, values: Vec<f64>) -> Option<Self> {
        let data = vec![("value", values), ("size", sizes)];
        let data = RegressionDataBuilder::new().build_from(data).ok()?;
        let model =
            FormulaRegressionBuilder::new().data(&data).formula("value ~ size").fit().ok()?;
        let parameters = model.parameters();
        Some(Self {
            base: *parameters.first()?,
            per_unit: *parameters.get(1)?,
            error: *model.se().get(1)?,
        })
    }

    /// Value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.per_unit * size
    }

    /// Error of the value at `size` due to the standard error of `per_unit`.
    pub fn error_at(&self, size: f64) -> f64 {
        self.error * size
    }
}
