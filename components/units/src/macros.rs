//! Macros for the common derives of data types and the conversions of newtypes.

/// Adds the derives common to all data types: `Debug`, `Clone`, `Eq` and serialisation.
///
/// ```
/// units::data! {
///     /// A point on a map.
///     pub struct MapPoint {
///         /// Degrees north.
///         pub north: i32,
///     }
/// }
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, PartialEq, Eq,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "units::serde")]
            $item
        )*
    };
}

/// Declares a newtype of an integer, with `Display` and `FromStr`.
#[macro_export]
macro_rules! number {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            $crate::serde::Serialize, $crate::serde::Deserialize,
        )]
        #[serde(crate = "units::serde", transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

/// Declares a newtype of a shared string, with `Display`, `FromStr` and cheap clones.
#[macro_export]
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            $crate::serde::Serialize, $crate::serde::Deserialize,
        )]
        #[serde(crate = "units::serde", transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.into()))
            }
        }
    };
}
