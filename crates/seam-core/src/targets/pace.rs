//! Learns how long the engines of a service take to the first token of a prompt.
//!
//! The time is taken to be linear in the tokens to prefill and the running requests. Its coefficients are
//! estimated for each service by recursive least squares, and relative to them the slowness of each
//! engine, so that an engine that is not used, and so not measured, follows the others.

use std::time::Duration;

use seam_protocol::Time;

/// Assumed coefficients before any measurement: milliseconds for an empty prompt, for a thousand tokens and
/// for a running request.
const ASSUMED: [f64; 3] = [30.0, 20.0, 0.5];
/// Standard deviations of the assumed coefficients, wide enough that a few dozen measurements outweigh them.
const ASSUMED_DEVIATION: [f64; 3] = [60.0, 30.0, 1.0];
/// Fraction of the assumed variances by which the estimates become less certain with each measurement.
const SERVICE_DRIFT: f64 = 0.0005;
/// Standard deviation of the logarithm of engines' slowness. It covers speeds from 0.55 to 1.2 of the usual.
const SLOWNESS_DEVIATION: f64 = 0.3;
/// Variance by which an engine's slowness becomes less certain with each measurement.
const SLOWNESS_DRIFT: f64 = 0.0015;
/// Variance by which it becomes less certain after a measurement far from the expected one. Two of these
/// in a row thus show a change.
const OUTLIER_DRIFT: f64 = 0.02;
/// Deviation of measurements from the exact time, as a fraction of it.
const NOISE: f64 = 0.2;
/// Deviation of measurements from the exact time in milliseconds, at any length.
const NOISE_MS: f64 = 5.0;
/// Standard deviations beyond which a longer time than expected counts only so much. The engine may have had
/// work that this node did not know of.
const MAX_LONGER: f64 = 1.5;
/// The same for a shorter time, which has no such explanation.
const MAX_SHORTER: f64 = 3.0;
/// Fraction of its logarithm that slowness loses at each refresh. An engine that was slow for a time that
/// nothing told of is tried again.
const DECAY_RATE: f64 = 0.02;
/// The same at engines that report slow moments: what is learned beside them is their standing speed.
const STANDING_DECAY_RATE: f64 = 0.002;
/// Range of slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Time without a measurement after which coefficients above the assumed ones return to these, so that a
/// service whose requests were all refused after a slow period is tried again.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the difference that is lost at each refresh then.
const IDLE_RATE: f64 = 0.02;

/// Weight of a new sample in the mean ratio of a service to the assumed times.
const RATIO_WEIGHT: f64 = 0.03;
/// Weight of a new sample in the mean slowness of an engine.
const MEAN_WEIGHT: f64 = 0.15;
/// Fraction of their difference from 1 that mean ratio and mean slowness lose at each refresh.
const MEAN_DECAY: f64 = 0.02;

/// Coefficients of the time to the first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTimes {
    /// Milliseconds for an empty prompt.
    pub base: f64,
    /// Milliseconds for a token.
    pub token: f64,
    /// Milliseconds that each running request adds.
    pub running: f64,
}

impl Default for PrefillTimes {
    fn default() -> Self {
        Pace::default().times()
    }
}

impl PrefillTimes {
    /// Returns the time to the first token in milliseconds, with a number of tokens to prefill.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u64, running: u32) -> f64 {
        self.base + tokens as f64 * self.token + f64::from(running) * self.running
    }
}

/// Speed of the engines of a service, and how it is learned.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// Mean ratio of the measured times to the assumed ones.
    Ratio(f64),
    /// Coefficients, of engines that report how long work takes at the moment. Without that, slow moments
    /// would be taken for the speed.
    Linear(ServicePace),
}

impl Default for Pace {
    fn default() -> Self {
        Self::Ratio(1.0)
    }
}

impl Pace {
    /// Returns the times of the usual engine.
    #[must_use]
    pub fn times(&self) -> PrefillTimes {
        match self {
            Self::Ratio(ratio) => PrefillTimes {
                base: ASSUMED[0] * ratio,
                token: ASSUMED[1] * ratio / 1000.0,
                running: ASSUMED[2] * ratio,
            },
            Self::Linear(pace) => pace.times(),
        }
    }

    /// Returns whether the engines report how long work takes at the moment.
    #[must_use]
    pub fn is_linear(&self) -> bool {
        matches!(self, Self::Linear(_))
    }

    /// Records a measurement at an engine, and adjusts the slowness of the engine.
    ///
    /// The slowness is relative to the pace of all, so that an unused engine, which is not measured, does not
    /// appear slower than the used ones when all of them change.
    ///
    /// ```
    /// use seam_core::targets::{EngineSlowness, Pace, PrefillSample};
    /// use seam_protocol::Time;
    /// let (mut pace, mut slowness) = (Pace::default(), EngineSlowness::default());
    /// let sample = PrefillSample { tokens: 0, running: 0, millis: 60.0, doubt: 0.0 };
    /// pace.record(Time(0), sample, &mut slowness);
    /// assert!((pace.times().base - 30.9).abs() < 1e-9);
    /// assert!((slowness.factor() - 1.15).abs() < 1e-9);
    /// ```
    pub fn record(&mut self, now: Time, sample: PrefillSample, slowness: &mut EngineSlowness) {
        match self {
            Self::Ratio(mean) => {
                let assumed = Self::default().times();
                let ratio = sample.millis / assumed.first_token_ms(sample.tokens, sample.running);
                let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
                let factor = slowness.factor();
                slowness.log = (factor + MEAN_WEIGHT * (ratio / *mean - factor)).ln();
                *mean += RATIO_WEIGHT * (ratio - *mean);
            }
            Self::Linear(pace) => pace.record(now, sample, slowness),
        }
    }

    /// Moves the pace towards the assumed one: a ratio always, coefficients if nothing has been measured for
    /// some time.
    pub fn decay(&mut self, now: Time) {
        match self {
            Self::Ratio(ratio) => *ratio += MEAN_DECAY * (1.0 - *ratio),
            Self::Linear(pace) => pace.decay(now),
        }
    }

    /// Moves the slowness of an engine towards 1, so that an engine that was slow is tried again.
    /// `standing` is whether the engine reports slow moments, so that what is learned beside them is its
    /// standing speed.
    pub fn decay_slowness(&self, slowness: &mut EngineSlowness, standing: bool) {
        match self {
            Self::Ratio(_) => {
                let factor = slowness.factor();
                slowness.log = (factor + MEAN_DECAY * (1.0 - factor)).ln();
            }
            Self::Linear(_) => slowness.decay(if standing {
                STANDING_DECAY_RATE
            } else {
                DECAY_RATE
            }),
        }
    }
}

/// A measured time to the first token, and what it depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSample {
    /// Tokens that the engine had to prefill: those of the request and those that were sent before.
    pub tokens: u64,
    /// Running requests.
    pub running: u32,
    /// Measured milliseconds, divided by the factor of the moment.
    pub millis: f64,
    /// Deviation of the factor of the moment, as a fraction of it.
    pub doubt: f64,
}

/// Estimated coefficients of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServicePace {
    mean: [f64; 3],
    covariance: [[f64; 3]; 3],
    measured: Option<Time>,
}

impl Default for ServicePace {
    fn default() -> Self {
        let mut covariance = [[0.0; 3]; 3];
        for (index, deviation) in ASSUMED_DEVIATION.into_iter().enumerate() {
            covariance[index][index] = deviation * deviation;
        }
        Self {
            mean: ASSUMED,
            covariance,
            measured: None,
        }
    }
}

impl ServicePace {
    /// Returns the estimated coefficients.
    #[must_use]
    pub fn times(&self) -> PrefillTimes {
        /// Smallest coefficients: an estimate below them is an error of the estimation.
        const LEAST: [f64; 3] = [1.0, 0.2, 0.0];
        let [base, kilotoken, running] = self.mean;
        PrefillTimes {
            base: base.max(LEAST[0]),
            token: kilotoken.max(LEAST[1]) / 1000.0,
            running: running.max(LEAST[2]),
        }
    }

    /// Returns the variance of the predicted time of a sample, in square milliseconds.
    fn variance(&self, inputs: [f64; 3]) -> f64 {
        dot(inputs, self.covaried(inputs)).max(0.0)
    }

    fn covaried(&self, inputs: [f64; 3]) -> [f64; 3] {
        self.covariance.map(|row| dot(row, inputs))
    }

    /// Records a measurement at an engine, and adjusts the slowness of the engine.
    ///
    /// Of a difference from the expected time, the service and the engine take as much as their estimates
    /// are uncertain. A time far longer than expected counts only in part.
    ///
    /// ```
    /// use seam_core::targets::{EngineSlowness, PrefillSample, ServicePace};
    /// use seam_protocol::Time;
    /// let (mut pace, mut slowness) = (ServicePace::default(), EngineSlowness::default());
    /// for number in 0..40 {
    ///     // 70 ms, 125 tokens a millisecond and a running request for each millisecond.
    ///     let (tokens, running) = (1000 * (number * 7 % 10), (number * 3 % 5) as u32);
    ///     let millis = 70.0 + tokens as f64 * 0.008 + f64::from(running);
    ///     let sample = PrefillSample { tokens, running, millis, doubt: 0.0 };
    ///     pace.record(Time(0), sample, &mut slowness);
    /// }
    /// let expected = pace.times().first_token_ms(5000, 2) * slowness.factor();
    /// assert!((expected - 112.0).abs() < 6.0, "{expected}");
    /// ```
    pub fn record(&mut self, now: Time, sample: PrefillSample, slowness: &mut EngineSlowness) {
        let inputs = [
            1.0,
            sample.tokens as f64 / 1000.0,
            f64::from(sample.running),
        ];
        let expected = self.times().first_token_ms(sample.tokens, sample.running);
        let noise = (NOISE + sample.doubt) * expected + NOISE_MS;
        let variance = self.variance(inputs);
        let engine_variance = slowness.variance;
        let millis = sample.millis / slowness.factor();
        slowness.record(
            (sample.millis / expected).max(f64::EPSILON).ln(),
            (noise * noise + variance) / (expected * expected),
        );
        let noise = noise * noise + engine_variance * expected * expected;
        let deviation = (variance + noise).sqrt();
        let difference = (millis - dot(inputs, self.mean))
            .clamp(-MAX_SHORTER * deviation, MAX_LONGER * deviation);
        let covaried = self.covaried(inputs);
        for row in 0..3 {
            let gain = covaried[row] / (variance + noise);
            self.mean[row] += gain * difference;
            for (column, covariance) in self.covariance[row].iter_mut().enumerate() {
                *covariance -= gain * covaried[column];
            }
        }
        self.widen(SERVICE_DRIFT);
        self.measured = Some(now);
    }

    /// Makes the estimates less certain by a fraction of the assumed variances.
    fn widen(&mut self, fraction: f64) {
        for (index, deviation) in ASSUMED_DEVIATION.into_iter().enumerate() {
            let most = deviation * deviation;
            let variance = &mut self.covariance[index][index];
            *variance = (*variance + fraction * most).min(most.max(*variance));
        }
    }

    /// Lowers the coefficients towards the assumed ones if nothing has been measured for some time.
    ///
    /// ```
    /// use seam_core::targets::{EngineSlowness, PrefillSample, ServicePace};
    /// use seam_protocol::Time;
    /// let mut pace = ServicePace::default();
    /// for _ in 0..40 {
    ///     let sample = PrefillSample { tokens: 1000, running: 0, millis: 2000.0, doubt: 0.0 };
    ///     pace.record(Time(0), sample, &mut EngineSlowness::default());
    /// }
    /// let slow = pace.times().first_token_ms(1000, 0);
    /// pace.decay(Time(1_000_000));
    /// assert!((pace.times().first_token_ms(1000, 0) - slow).abs() < 1e-9);
    /// for _ in 0..100 {
    ///     pace.decay(Time(3_000_000));
    /// }
    /// assert!(pace.times().first_token_ms(1000, 0) < slow / 3.0);
    /// ```
    pub fn decay(&mut self, now: Time) {
        let idle = self
            .measured
            .is_some_and(|measured| now.since(measured) >= IDLE_TIME);
        if idle {
            for (mean, assumed) in self.mean.iter_mut().zip(ASSUMED) {
                *mean += IDLE_RATE * (assumed - *mean).min(0.0);
            }
            self.widen(IDLE_RATE);
        }
    }
}

/// How much slower one engine is than the usual one of its service.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlowness {
    /// Logarithm of the factor.
    log: f64,
    variance: f64,
}

impl Default for EngineSlowness {
    fn default() -> Self {
        Self {
            log: 0.0,
            variance: SLOWNESS_DEVIATION * SLOWNESS_DEVIATION,
        }
    }
}

impl EngineSlowness {
    /// Returns the factor by which times are longer at this engine.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Returns whether a few more measurements would change the estimate.
    #[must_use]
    pub fn uncertain(&self) -> bool {
        /// Variance after about four measurements.
        const SETTLED_VARIANCE: f64 = 0.012;
        self.variance > SETTLED_VARIANCE
    }

    /// Records the logarithm of the ratio of a measured time to the usual one.
    fn record(&mut self, log: f64, noise: f64) {
        let deviation = (self.variance + noise).sqrt();
        let difference = log - self.log;
        let expected = -MAX_SHORTER * deviation..=MAX_LONGER * deviation;
        let used = difference.clamp(*expected.start(), *expected.end());
        let gain = self.variance / (self.variance + noise);
        let (least, most) = SLOWNESS_RANGE;
        self.log = (self.log + gain * used).clamp(least.ln(), most.ln());
        self.variance *= 1.0 - gain;
        self.variance += if expected.contains(&difference) {
            SLOWNESS_DRIFT
        } else {
            OUTLIER_DRIFT
        };
    }

    /// Moves the slowness towards 1 by a fraction.
    fn decay(&mut self, rate: f64) {
        let most = SLOWNESS_DEVIATION * SLOWNESS_DEVIATION;
        self.log -= rate * self.log;
        self.variance += rate * (most - self.variance).max(0.0);
    }
}

fn dot(one: [f64; 3], other: [f64; 3]) -> f64 {
    one.into_iter().zip(other).map(|(a, b)| a * b).sum()
}
