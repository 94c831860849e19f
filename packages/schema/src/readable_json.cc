#include "schema/readable_json.h"

#include <thrift/transport/TBufferTransports.h>

#include <cstdio>
#include <memory>

namespace sesamesaddle {
namespace {

std::string Quote(const std::string& text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string quoted = "\"";
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (byte < kFirstPrintable) {
      char escape[8];
      snprintf(escape, sizeof(escape), "\\u%04x", byte);
      quoted += escape;
    } else {
      quoted += character;
    }
  }
  return quoted + '"';
}

std::string EncodeHex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    char digits[4];
    snprintf(digits, sizeof(digits), "%02x", static_cast<unsigned char>(byte));
    text += digits;
  }
  return text;
}

}  // namespace

ReadableJsonProtocol::ReadableJsonProtocol()
    : TVirtualProtocol(
          std::make_shared<apache::thrift::transport::TMemoryBuffer>()),
      scopes_{{Position::kRoot, 0}} {}

uint32_t ReadableJsonProtocol::writeMessageBegin(const std::string& /*name*/,
                                                 TMessageType /*type*/,
                                                 int32_t /*sequence*/) {
  return 0;
}

uint32_t ReadableJsonProtocol::writeMessageEnd() { return 0; }

uint32_t ReadableJsonProtocol::writeStructBegin(const char* /*name*/) {
  OpenScope('{', Position::kField);
  return 0;
}

uint32_t ReadableJsonProtocol::writeStructEnd() {
  CloseScope('}');
  return 0;
}

uint32_t ReadableJsonProtocol::writeFieldBegin(const char* name, TType /*type*/,
                                               int16_t /*id*/) {
  if (scopes_.back().count++ > 0) text_ += ',';
  text_ += Quote(name) + ':';
  return 0;
}

uint32_t ReadableJsonProtocol::writeFieldEnd() { return 0; }

uint32_t ReadableJsonProtocol::writeFieldStop() { return 0; }

uint32_t ReadableJsonProtocol::writeMapBegin(TType /*key*/, TType /*value*/,
                                             uint32_t /*size*/) {
  OpenScope('{', Position::kMapKey);
  return 0;
}

uint32_t ReadableJsonProtocol::writeMapEnd() {
  CloseScope('}');
  return 0;
}

uint32_t ReadableJsonProtocol::writeListBegin(TType /*element*/,
                                              uint32_t /*size*/) {
  OpenScope('[', Position::kElement);
  return 0;
}

uint32_t ReadableJsonProtocol::writeListEnd() {
  CloseScope(']');
  return 0;
}

uint32_t ReadableJsonProtocol::writeSetBegin(TType element, uint32_t size) {
  return writeListBegin(element, size);
}

uint32_t ReadableJsonProtocol::writeSetEnd() { return writeListEnd(); }

uint32_t ReadableJsonProtocol::writeBool(bool value) {
  return WriteRaw(value ? "true" : "false");
}

uint32_t ReadableJsonProtocol::writeByte(int8_t value) {
  return WriteRaw(std::to_string(value));
}

uint32_t ReadableJsonProtocol::writeI16(int16_t value) {
  return WriteRaw(std::to_string(value));
}

uint32_t ReadableJsonProtocol::writeI32(int32_t value) {
  return WriteRaw(std::to_string(value));
}

uint32_t ReadableJsonProtocol::writeI64(int64_t value) {
  return WriteRaw(std::to_string(value));
}

uint32_t ReadableJsonProtocol::writeDouble(double value) {
  return WriteRaw(std::to_string(value));
}

uint32_t ReadableJsonProtocol::writeString(const std::string& value) {
  return WriteRaw(Quote(value));
}

uint32_t ReadableJsonProtocol::writeBinary(const std::string& value) {
  return WriteRaw(Quote(EncodeHex(value)));
}

uint32_t ReadableJsonProtocol::WriteRaw(const std::string& text) {
  BeginValue();
  const bool unquoted_key =
      scopes_.back().position == Position::kMapKey && text.front() != '"';
  text_ += unquoted_key ? Quote(text) : text;
  EndValue();
  return 0;
}

void ReadableJsonProtocol::BeginValue() {
  Scope& scope = scopes_.back();
  const bool starts_item = scope.position == Position::kElement ||
                           scope.position == Position::kMapKey;
  if (starts_item && scope.count++ > 0) text_ += ',';
}

void ReadableJsonProtocol::EndValue() {
  Scope& scope = scopes_.back();
  if (scope.position == Position::kMapKey) {
    text_ += ':';
    scope.position = Position::kMapValue;
  } else if (scope.position == Position::kMapValue) {
    scope.position = Position::kMapKey;
  }
}

void ReadableJsonProtocol::OpenScope(char bracket, Position position) {
  BeginValue();
  text_ += bracket;
  scopes_.push_back({position, 0});
}

void ReadableJsonProtocol::CloseScope(char bracket) {
  text_ += bracket;
  scopes_.pop_back();
  EndValue();
}

}  // namespace sesamesaddle
