//! Serialization of structs with two fields as an array of two elements, which the handover format requires.

use miniserde::de::{Seq as ReadSeq, Visitor};
use miniserde::ser::{Fragment, Seq as WriteSeq};
use miniserde::{make_place, Deserialize, Error, Serialize};

/// A struct of two fields that are serialized in this order.
pub(crate) trait WirePair: Sized {
    /// Type of the first field.
    type First: Deserialize;
    /// Type of the second field.
    type Second: Deserialize;

    /// Creates the struct from its fields.
    fn from_pair(first: Self::First, second: Self::Second) -> Self;

    /// Returns the fields.
    fn to_pair(&self) -> [&dyn Serialize; 2];
}

/// Implements [`WirePair`] and its serialization for a struct with the given two fields.
macro_rules! wire_as_pair {
    ($name:ident { $first:ident: $first_type:ty, $second:ident: $second_type:ty }) => {
        impl crate::decisions::wire_pair::WirePair for $name {
            type First = $first_type;
            type Second = $second_type;

            fn from_pair($first: $first_type, $second: $second_type) -> Self {
                $name { $first, $second }
            }

            fn to_pair(&self) -> [&dyn miniserde::Serialize; 2] {
                [&self.$first, &self.$second]
            }
        }

        impl miniserde::Serialize for $name {
            fn begin(&self) -> miniserde::ser::Fragment<'_> {
                crate::decisions::wire_pair::write(self)
            }
        }

        impl miniserde::Deserialize for $name {
            fn begin(out: &mut Option<Self>) -> &mut dyn miniserde::de::Visitor {
                crate::decisions::wire_pair::read(out)
            }
        }
    };
}
pub(crate) use wire_as_pair;

struct PairWriter<'a> {
    fields: [&'a dyn Serialize; 2],
    next: usize,
}

impl WriteSeq for PairWriter<'_> {
    fn next(&mut self) -> Option<&dyn Serialize> {
        let field = *self.fields.get(self.next)?;
        self.next += 1;
        Some(field)
    }
}

/// Serializes a pair.
pub(crate) fn write(pair: &impl WirePair) -> Fragment<'_> {
    Fragment::Seq(Box::new(PairWriter {
        fields: pair.to_pair(),
        next: 0,
    }))
}

make_place!(Place);

struct PairReader<'a, P: WirePair> {
    out: &'a mut Option<P>,
    first: Option<P::First>,
    second: Option<P::Second>,
}

impl<P: WirePair> Visitor for Place<P> {
    fn seq(&mut self) -> Result<Box<dyn ReadSeq + '_>, Error> {
        Ok(Box::new(PairReader {
            out: &mut self.out,
            first: None,
            second: None,
        }))
    }
}

impl<P: WirePair> ReadSeq for PairReader<'_, P> {
    fn element(&mut self) -> Result<&mut dyn Visitor, Error> {
        if self.first.is_none() {
            Ok(Deserialize::begin(&mut self.first))
        } else if self.second.is_none() {
            Ok(Deserialize::begin(&mut self.second))
        } else {
            Err(Error)
        }
    }

    fn finish(&mut self) -> Result<(), Error> {
        let first = self.first.take().ok_or(Error)?;
        let second = self.second.take().ok_or(Error)?;
        *self.out = Some(P::from_pair(first, second));
        Ok(())
    }
}

/// Returns the visitor that deserializes a pair. Anything except an array of the two fields is an error.
pub(crate) fn read<P: WirePair>(out: &mut Option<P>) -> &mut dyn Visitor {
    Place::new(out)
}

#[cfg(test)]
mod tests;
