# Annotations that describe keys of settings and configuration. The checks of crate `config` and the
# documented examples are derived from them.

@0xc9e50e1bfce56e02;

enum FieldKind {
  plain @0;
  # 1 to 63 letters, digits and -_. with a letter or digit first.
  name @1;
  # IP address and port to listen on.
  address @2;
  # IP address and port that other processes connect to, so not an unspecified address.
  reachableAddress @3;
  # Label selector.
  selector @4;
  # JSON object of label keys and values.
  labels @5;
}

# One-line description of a key.
annotation doc(field) :Text;
# The key has no default.
annotation required(field) :Void;
# Unit of a number.
annotation unit(field) :Text;
# Lowest accepted number, or fewest items of a list.
annotation min(field) :UInt64;
# Highest accepted number, or most items of a list.
annotation max(field) :UInt64;
# What a text holds.
annotation kind(field) :FieldKind;
# Value shown in the documented example, as JSON. Without it the default is shown.
annotation example(field) :Text;
