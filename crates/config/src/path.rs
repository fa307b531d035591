//! Paths of fields, as shown in faults.

use std::fmt;
use std::fmt::Display;

use smol_str::SmolStr;

/// One step of a [`FieldPath`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PathStep {
    /// The field of a message, by name.
    Field(SmolStr),
    /// The element of a list, counted from 0.
    Item(usize),
}

/// The path of one field, from the root of a set or a settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// Returns the path of a field of the message at this path.
    pub fn field(&self, name: &str) -> FieldPath {
        let mut path = self.clone();
        path.0.push(PathStep::Field(SmolStr::new(name)));
        path
    }

    /// Returns the path of an element of the list at this path.
    pub fn item(&self, at: usize) -> FieldPath {
        let mut path = self.clone();
        path.0.push(PathStep::Item(at));
        path
    }
}

impl Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Field(name) if at == 0 => f.write_str(name)?,
                PathStep::Field(name) => write!(f, ".{name}")?,
                PathStep::Item(item) => write!(f, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// The name of the only field of a set that is not a list.
pub(crate) const POLICY: &str = "policy";

/// The location of a field in a set, without the allocation of a [`FieldPath`].
#[derive(Clone, Copy)]
pub(crate) struct Spot {
    list: &'static str,
    at: usize,
    field: &'static str,
    /// The index of an element, when `field` is a list, and the name of a field of
    /// that element; the name is empty for the element itself.
    inner: Option<(usize, &'static str)>,
}

impl Spot {
    /// Returns the location of a field of the entry `at` of a list of the set.
    pub(crate) fn new(list: &'static str, at: usize, field: &'static str) -> Spot {
        let inner = None;
        Spot {
            list,
            at,
            field,
            inner,
        }
    }

    /// Returns the location of another field of the same entry or element.
    pub(crate) fn field(self, field: &'static str) -> Spot {
        match self.inner {
            Some((at, _)) => Spot {
                inner: Some((at, field)),
                ..self
            },
            None => Spot { field, ..self },
        }
    }

    /// Returns the location of an element of the list at this location.
    pub(crate) fn item(self, at: usize) -> Spot {
        Spot {
            inner: Some((at, "")),
            ..self
        }
    }

    /// Returns the name of the field.
    pub(crate) fn name(self) -> &'static str {
        match self.inner {
            Some((_, field)) if !field.is_empty() => field,
            _ => self.field,
        }
    }

    /// Returns the path of the field from the root of the set.
    pub(crate) fn path(self) -> FieldPath {
        if self.list == POLICY {
            return FieldPath::default().field(POLICY).field(self.field);
        }
        let path = FieldPath::default().field(self.list).item(self.at);
        let path = path.field(self.field);
        match self.inner {
            Some((at, "")) => path.item(at),
            Some((at, field)) => path.item(at).field(field),
            None => path,
        }
    }
}
