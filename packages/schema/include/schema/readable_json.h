#ifndef SESAMESADDLE_SCHEMA_READABLE_JSON_H_
#define SESAMESADDLE_SCHEMA_READABLE_JSON_H_

#include <thrift/protocol/TVirtualProtocol.h>

#include <string>
#include <vector>

namespace sesamesaddle {

/**
 * A Thrift protocol that writes JSON with the names of the fields, for people
 * and scripts. Thrift's own JSON protocol writes field numbers. Write only.
 */
class ReadableJsonProtocol
    : public apache::thrift::protocol::TVirtualProtocol<ReadableJsonProtocol> {
 public:
  using TType = apache::thrift::protocol::TType;
  using TMessageType = apache::thrift::protocol::TMessageType;

  ReadableJsonProtocol();

  /** The text written so far. */
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
  /** What the next value is in the structure around it. */
  enum class Place { kRoot, kField, kElement, kMapKey, kMapValue };
  struct Level {
    Place place;
    size_t count;
  };

  uint32_t WriteRaw(const std::string& text);
  void BeforeValue();
  void AfterValue();
  void Open(char bracket, Place place);
  void Close(char bracket);

  std::string text_;
  std::vector<Level> levels_;
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
