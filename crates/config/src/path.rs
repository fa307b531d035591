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
    pub fn item(&self, index: usize) -> FieldPath {
        let mut path = self.clone();
        path.0.push(PathStep::Item(index));
        path
    }
}

impl Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Field(name) if index == 0 => f.write_str(name)?,
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
pub(crate) struct FieldLocation {
    list: &'static str,
    index: usize,
    field: &'static str,
    /// The index of an element, when `field` is a list, and the name of a field of
    /// that element; the name is empty for the element itself.
    inner: Option<(usize, &'static str)>,
}

impl FieldLocation {
    /// Returns the location of a field of the entry `index` of a list of the set.
    pub(crate) fn new(list: &'static str, index: usize, field: &'static str) -> FieldLocation {
        let inner = None;
        FieldLocation {
            list,
            index,
            field,
            inner,
        }
    }

    /// Returns the location of another field of the same entry or element.
    pub(crate) fn field(self, field: &'static str) -> FieldLocation {
        match self.inner {
            Some((index, _)) => FieldLocation {
                inner: Some((index, field)),
                ..self
            },
            None => FieldLocation { field, ..self },
        }
    }

    /// Returns the location of an element of the list at this location.
    pub(crate) fn item(self, index: usize) -> FieldLocation {
        FieldLocation {
            inner: Some((index, "")),
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
        let path = FieldPath::default().field(self.list).item(self.index);
        let path = path.field(self.field);
        match self.inner {
            Some((index, "")) => path.item(index),
            Some((index, field)) => path.item(index).field(field),
            None => path,
        }
    }
}
