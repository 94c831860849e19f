// Response bodies of the platform's key-value service.
namespace cpp sesamesaddle.schema

struct KeyValue {
  1: required string key
  2: required binary value
  // Store revision of the last write of this key.
  3: required i64 version
  4: required bool deleted
}

struct KeyValueList {
  1: required list<KeyValue> items
  // Store revision at which the list was read.
  2: required i64 revision
  // Keys that are present, but whose value or version is unreadable.
  3: optional list<string> unreadable_keys
}
