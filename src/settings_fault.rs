//! Which key of a text is at fault where it could not be decoded, and what stands there.
//!
//! This file owns the search for it: another value is tried in each place until the text decodes. It must never know a key,
//! a type or a setting, and never take a text for sound that its decoder turned down.

use miniserde::json::{self, Array, Number, Object, Value};
use miniserde::Deserialize;

/// Places that are looked at, at most. Guards against texts made to cost time.
const PLACES_MOST: usize = 2000;
/// Longest value that is shown.
const SHOWN_MOST: usize = 60;

/// Says what keeps the text from being a `T`, which it is not: the key and its value, where a single one is at fault.
pub fn of<T: Deserialize>(text: &str) -> String {
    let Ok(mut whole) = json::from_str::<Value>(text) else { return "not JSON, or cut off".into() };
    let mut ways = Vec::new();
    places(&whole, &mut Vec::new(), &mut ways);
    // The deepest place comes first: an object would do as well as the one key in it that is wrong.
    ways.sort_by_key(|way| std::cmp::Reverse(way.len()));
    for way in ways {
        let Some(place) = at(&mut whole, &way) else { continue };
        let own = std::mem::replace(place, Value::Null);
        let shown: String = json::to_string(&own).chars().take(SHOWN_MOST).collect();
        for (other, kind) in others() {
            // Where a number of another kind would do, the one that is there is out of its bounds.
            let number = matches!((&own, &other), (Value::Number(_), Value::Number(_)));
            if let Some(place) = at(&mut whole, &way) {
                *place = other;
            }
            if json::from_str::<T>(&json::to_string(&whole)).is_ok() {
                let what = if number { "no whole number that fits" } else { kind };
                return format!("{}: {shown} is {what}", name(&way));
            }
        }
        if let Some(place) = at(&mut whole, &way) {
            *place = own;
        }
    }
    "not of the expected form: several keys are wrong, or a needed one is missing".into()
}

/// What is tried in a place, and what it is called that does not stand there.
fn others() -> [(Value, &'static str); 6] {
    [
        (Value::Number(Number::U64(1)), "no number"),
        (Value::String(String::new()), "no text"),
        (Value::Bool(true), "neither true nor false"),
        (Value::Array(Array::new()), "no list of the expected form, or an entry of it lacks a key"),
        (Value::Object(Object::new()), "no object with its keys"),
        (Value::Null, "not of the expected form, or lacks a key"),
    ]
}

/// A step from a value to one inside it.
#[derive(Clone)]
enum Step {
    Key(String),
    Place(usize),
}

fn places(value: &Value, way: &mut Vec<Step>, all: &mut Vec<Vec<Step>>) {
    let mut into = |step: Step, inner: &Value| {
        if all.len() < PLACES_MOST {
            way.push(step);
            all.push(way.clone());
            places(inner, way, all);
            way.pop();
        }
    };
    match value {
        Value::Object(object) => object.iter().for_each(|(key, inner)| into(Step::Key(key.clone()), inner)),
        Value::Array(values) => {
            values.iter().enumerate().for_each(|(place, inner)| into(Step::Place(place), inner));
        }
        _ => {}
    }
}

fn at<'a>(whole: &'a mut Value, way: &[Step]) -> Option<&'a mut Value> {
    way.iter().try_fold(whole, |value, step| match (value, step) {
        (Value::Object(object), Step::Key(key)) => object.get_mut(key),
        (Value::Array(values), Step::Place(place)) => values.get_mut(*place),
        _ => None,
    })
}

fn name(way: &[Step]) -> String {
    let mut name = String::new();
    for step in way {
        match step {
            Step::Key(key) if name.is_empty() => name.push_str(key),
            Step::Key(key) => name.push_str(&format!(".{key}")),
            Step::Place(place) => name.push_str(&format!("[{place}]")),
        }
    }
    name
}
