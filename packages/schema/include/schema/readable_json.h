#ifndef SESAMESADDLE_SCHEMA_READABLE_JSON_H_
#define SESAMESADDLE_SCHEMA_READABLE_JSON_H_

#include <thrift/protocol/TVirtualProtocol.h>

#include <string>
#include <vector>

namespace sesamesaddle {

/**
 * A write-only Thrift protocol that produces JSON with field names, for people
 * and scripts; Thrift's own JSON protocol writes field numbers.
 */
class ReadableJsonProtocol
    : public apache::thrift::protocol::TVirtualProtocol<ReadableJsonProtocol> {
 public:
  using TType = apache::thrift::protocol::TType;
  using TMessageType = apache::thrift::protocol::TMessageType;

  ReadableJsonProtocol();

  /** The JSON written so far. */
  const std::string& text() const { return text_; }

  uint32_t writeMessageBegin(const std::string& name, TMessageType type,
                             int32_t sequence);
  uint32_t writeMessageEnd();
  uint32_t writeStructBegin(const char* name);
  uint32_t writeStructEnd();
  uint32_t writeFieldBegin(const char* name, TType type, int16_t id);
  uint32_t writeFieldEnd();
  uint32_t writeFieldStop();
  uint32_t writeMapBegin(TType key, TType value, uint32_t size);
  uint32_t writeMapEnd();
  uint32_t writeListBegin(TType element, uint32_t size);
  uint32_t writeListEnd();
  uint32_t writeSetBegin(TType element, uint32_t size);
  uint32_t writeSetEnd();
  uint32_t writeBool(bool value);
  uint32_t writeByte(int8_t value);
  uint32_t writeI16(int16_t value);
  uint32_t writeI32(int32_t value);
  uint32_t writeI64(int64_t value);
  uint32_t writeDouble(double value);
  uint32_t writeString(const std::string& value);
  uint32_t writeBinary(const std::string& value);

 private:
  /** Position of the next value within the enclosing JSON structure. */
  enum class Position { kRoot, kField, kElement, kMapKey, kMapValue };
  struct Scope {
    Position position;
    size_t count;
  };

  uint32_t WriteRaw(const std::string& text);
  void BeginValue();
  void EndValue();
  void OpenScope(char bracket, Position position);
  void CloseScope(char bracket);

  std::string text_;
  std::vector<Scope> scopes_;
};

/** @return the message as JSON with field names. */
template <typename T>
std::string EncodeReadableJson(const T& message) {
  ReadableJsonProtocol protocol;
  message.write(&protocol);
  return protocol.text();
}

}  // namespace sesamesaddle

#endif  // SESAMESADDLE_SCHEMA_READABLE_JSON_H_
