//! The context that is propagated with a call over all hops.
//!
//! Targets copy the header `x-radishgauge-context` from a request to the
//! requests that they make on its behalf, as they do with the trace context. It
//! is text with named fields, so that it is readable in a log:
//! `deadline=1500;depth=2;call=9f;tenant=acme;home=addis,bahir`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use radishgauge_schema::peer;
use smol_str::SmolStr;
use thiserror::Error;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// The name of the header that contains the context.
pub const CONTEXT_HEADER: &str = "x-radishgauge-context";

/// The maximum depth of a call. Expected call chains are at most 10 deep, so
/// that a chain beyond this limit is most likely a loop.
pub const MAX_DEPTH: u32 = 32;

/// The maximum length of the header in bytes.
pub const MAX_LENGTH: usize = 2048;

/// The maximum deadline, equal to the maximum timeout of a route.
const MAX_DEADLINE: Duration = Duration::from_millis(600_000);

/// The maximum allowance in calls; no retry budget can pay for more.
const MAX_ALLOWANCE: u32 = 1_000_000;

/// The deadline, depth, retry allowance, tenant and home regions of a call.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::context::CallContext;
///
/// let context: CallContext = "deadline=1500;depth=2;tenant=acme".parse()?;
/// assert_eq!(context.depth, 2);
/// assert_eq!(context.to_string(), "deadline=1500;depth=2;tenant=acme");
/// # Ok::<(), radishgauge_traffic::context::ContextError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallContext {
    /// The time that remains until the caller stops waiting.
    pub deadline: Duration,
    /// The number of calls above this one in the call tree.
    pub depth: u32,
    /// The number of calls that a retry may cause, itself included; `None` for
    /// a call that is neither a retry nor made on behalf of one.
    pub allowance: Option<u32>,
    /// Identifies the running call on whose behalf this one is made; the number
    /// is chosen by the daemon that runs the parent call.
    pub call: Option<u64>,
    /// The name of the tenant; empty for none.
    pub tenant: SmolStr,
    /// The regions in which the request may be handled; empty for all.
    pub home: Vec<SmolStr>,
}

impl CallContext {
    /// Returns whether the call is a retry or made on behalf of one.
    pub fn is_in_retry(&self) -> bool {
        self.allowance.is_some()
    }

    /// Returns the context of a call that is made on behalf of this one, with
    /// the earlier of both deadlines.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Depth`] when this call is already at [`MAX_DEPTH`].
    pub fn child_context(&self, deadline: Duration) -> Result<CallContext, Refusal> {
        if self.depth >= MAX_DEPTH {
            return Err(Refusal::new(RefusalReason::Depth));
        }
        Ok(CallContext {
            deadline: deadline.min(self.deadline),
            depth: self.depth + 1,
            ..self.clone()
        })
    }

    /// Returns the protocol message that daemons exchange; it has no field for
    /// [`CallContext::call`].
    pub fn to_message(&self, traceparent: &str) -> peer::CallContext {
        peer::CallContext {
            deadline_ms: self.deadline.as_millis() as u64,
            depth: self.depth,
            retry: self.is_in_retry(),
            allowance: self.allowance.unwrap_or(0),
            tenant: self.tenant.to_string(),
            home_regions: self.home.iter().map(SmolStr::to_string).collect(),
            traceparent: traceparent.to_owned(),
        }
    }

    /// Reads the context from a message of another daemon.
    ///
    /// # Errors
    ///
    /// A [`ContextError`] for a value that the text form doesn't accept either.
    pub fn from_message(message: &peer::CallContext) -> Result<CallContext, ContextError> {
        let millis = Duration::from_millis(message.deadline_ms);
        if millis > MAX_DEADLINE {
            return Err(field_error("deadline", &message.deadline_ms.to_string()));
        }
        if message.depth > MAX_DEPTH {
            return Err(field_error("depth", &message.depth.to_string()));
        }
        if message.allowance > MAX_ALLOWANCE {
            return Err(field_error("allowance", &message.allowance.to_string()));
        }
        let home = message.home_regions.iter();
        Ok(CallContext {
            deadline: millis,
            depth: message.depth,
            allowance: message.retry.then_some(message.allowance),
            call: None,
            tenant: match message.tenant.as_str() {
                "" => SmolStr::default(),
                tenant => parse_name("tenant", tenant)?,
            },
            home: home
                .map(|region| parse_name("home", region))
                .collect::<Result<_, _>>()?,
        })
    }
}

impl fmt::Display for CallContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.deadline.as_millis();
        write!(f, "deadline={millis};depth={}", self.depth)?;
        if let Some(allowance) = self.allowance {
            write!(f, ";allowance={allowance}")?;
        }
        if let Some(call) = self.call {
            write!(f, ";call={call:x}")?;
        }
        if !self.tenant.is_empty() {
            write!(f, ";tenant={}", self.tenant)?;
        }
        for (index, region) in self.home.iter().enumerate() {
            let separator = if index == 0 { ";home=" } else { "," };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}

/// A context header or message that is malformed or out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{CONTEXT_HEADER}: field `{field}`: found `{found}`, accepted: {accepted}")]
pub struct ContextError {
    /// The name of the malformed field; `header` for the header as a whole.
    pub field: SmolStr,
    /// The value of the field, truncated to 64 characters.
    pub found: String,
    /// A description of the accepted values.
    pub accepted: &'static str,
}

impl From<ContextError> for Refusal {
    fn from(_: ContextError) -> Refusal {
        Refusal::new(RefusalReason::BadContext)
    }
}

impl FromStr for CallContext {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<CallContext, ContextError> {
        if text.len() > MAX_LENGTH {
            return Err(field_error("header", &format!("{} bytes", text.len())));
        }
        let mut context = CallContext::default();
        let mut seen: Vec<&str> = Vec::with_capacity(6);
        for pair in text.split(';') {
            let Some((field, value)) = pair.split_once('=') else {
                return Err(field_error("header", pair));
            };
            if seen.contains(&field) {
                return Err(ContextError {
                    accepted: "each field once",
                    ..field_error(field, value)
                });
            }
            seen.push(field);
            match field {
                "deadline" => {
                    let millis = parse_number(field, value, MAX_DEADLINE.as_millis() as u64)?;
                    context.deadline = Duration::from_millis(millis);
                }
                "depth" => {
                    context.depth = parse_number(field, value, u64::from(MAX_DEPTH))? as u32;
                }
                "allowance" => {
                    let calls = parse_number(field, value, u64::from(MAX_ALLOWANCE))?;
                    context.allowance = Some(calls as u32);
                }
                "call" => {
                    let digits = value.bytes().all(|byte| byte.is_ascii_hexdigit());
                    let call = u64::from_str_radix(value, 16).ok().filter(|_| digits);
                    context.call = Some(call.ok_or_else(|| field_error(field, value))?);
                }
                "tenant" => context.tenant = parse_name(field, value)?,
                "home" => {
                    context.home = value
                        .split(',')
                        .map(|region| parse_name(field, region))
                        .collect::<Result<_, _>>()?;
                }
                _ => return Err(field_error(field, value)),
            }
        }
        for field in ["deadline", "depth"] {
            if !seen.contains(&field) {
                return Err(field_error(field, ""));
            }
        }
        Ok(context)
    }
}

fn parse_number(field: &str, value: &str, max: u64) -> Result<u64, ContextError> {
    // `parse` also accepts a sign, which the encoder never writes.
    let digits = value.bytes().all(|byte| byte.is_ascii_digit());
    let number = value.parse().ok().filter(|_| digits);
    number
        .filter(|number| *number <= max)
        .ok_or_else(|| field_error(field, value))
}

fn parse_name(field: &str, value: &str) -> Result<SmolStr, ContextError> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if value.is_empty() || value.len() > 128 || !value.bytes().all(valid) {
        return Err(field_error(field, value));
    }
    Ok(SmolStr::new(value))
}

fn field_error(field: &str, found: &str) -> ContextError {
    let accepted = match field {
        "deadline" => "a whole number of milliseconds from 0 to 600000",
        "depth" => "a whole number from 0 to 32",
        "allowance" => "a whole number from 0 to 1000000",
        "call" => "1 to 16 hexadecimal digits",
        "tenant" => "1 to 128 of a-z, A-Z, 0-9, `-`, `_`, `.`",
        "home" => "names of 1 to 128 of a-z, A-Z, 0-9, `-`, `_`, `.`, separated by commas",
        "header" => "up to 2048 bytes of `field=value` separated by semicolons",
        _ => "the fields deadline, depth, allowance, call, tenant, home",
    };
    ContextError {
        field: SmolStr::new(field.chars().take(64).collect::<String>()),
        found: found.chars().take(64).collect(),
        accepted,
    }
}
