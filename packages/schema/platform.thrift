// What the platform's key-value service carries in the bodies of its answers.
namespace cpp sesamesaddle.schema

struct KeyValue {
  1: required string key
  2: required binary value
  // Revision of the store at the last write of this key.
  3: required i64 version
  4: required bool deleted
}

struct KeyValueList {
  1: required list<KeyValue> items
  // Revision of the store when the list was made.
  2: required i64 revision
}
