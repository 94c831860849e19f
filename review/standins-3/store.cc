#include "store.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr Millis kTick = Millis(10);
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = (bits << 8) | static_cast<uint8_t>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kAlphabet[(bits >> count) & 63];
    }
  }
  if (count > 0) text += kAlphabet[(bits << (6 - count)) & 63];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

std::string FromBase64(const std::string& text) {
  const std::string alphabet = kAlphabet;
  std::string bytes;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const size_t value = alphabet.find(c);
    if (value == std::string::npos) break;
    bits = (bits << 6) | static_cast<uint32_t>(value);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes += static_cast<char>(bits >> count);
  }
  return bytes;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain +=
          static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  size_t at = 0;
  while (at < query.size()) {
    const size_t end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      return Unescape(part.substr(name.size() + 1));
    }
    at = end + 1;
  }
  return "";
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Store::Store(Loop& loop, const std::string& ip, const std::string& ip_of_one,
             uint16_t port)
    : loop_(loop) {
  Listen(ip, port);
  listener_of_one_ = Listen(ip_of_one, port);
  loop_.Every(kTick, [this] {
    ExpireLeases();
    RespondToWatches();
  });
}

int Store::Listen(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, SOMAXCONN) != 0) {
    fprintf(stderr, "world: the store cannot listen\n");
    exit(2);
  }
  loop_.OnReadable(fd, [this, fd] { Accept(fd); });
  return fd;
}

void Store::TurnAway(Millis time, const std::string& prefix) {
  turned_away_until_ = Clock::now() + time;
  for (const auto& [key, value] : Values(prefix)) Remove(key);
  RespondToWatches();
}

void Store::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0);
  RespondToWatches();
}

std::map<std::string, std::string> Store::Values(
    const std::string& prefix) const {
  std::map<std::string, std::string> values;
  for (const auto& [key, item] : items_) {
    if (HasPrefix(key, prefix)) values[key] = item.value;
  }
  return values;
}

void Store::Accept(int listener) {
  const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd < 0) return;
  if (listener == listener_of_one_) of_one_.insert(fd);
  received_[fd] = "";
  loop_.OnReadable(fd, [this, fd] { Receive(fd); });
}

void Store::Receive(int fd) {
  char buffer[65536];
  const ssize_t size = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (size <= 0) {
    Close(fd);
    return;
  }
  received_[fd].append(buffer, static_cast<size_t>(size));
  while (HandleNext(fd)) {
  }
}

void Store::Close(int fd) {
  loop_.Forget(fd);
  received_.erase(fd);
  of_one_.erase(fd);
  watches_.remove_if([fd](const Watch& watch) { return watch.fd == fd; });
  close(fd);
}

bool Store::HandleNext(int fd) {
  const auto connection = received_.find(fd);
  if (connection == received_.end()) return false;
  std::string& bytes = connection->second;
  const size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  const std::string head = bytes.substr(0, head_end);
  size_t length = 0;
  const size_t field = head.find("content-length:");
  if (field != std::string::npos) {
    length = strtoul(head.c_str() + field + 15, nullptr, 10);
  }
  const size_t total = head_end + 4 + length;
  if (bytes.size() < total) return false;
  const std::string body = bytes.substr(head_end + 4, length);
  bytes.erase(0, total);
  const size_t space = head.find(' ');
  const size_t target_end = head.find(' ', space + 1);
  Handle(fd, head.substr(0, space),
         head.substr(space + 1, target_end - space - 1), body);
  return true;
}

void Store::Respond(int fd, int status, const Json& body) {
  const std::string text = body.dump();
  const std::string response =
      "HTTP/1.1 " + std::to_string(status) +
      " -\r\ncontent-type: application/json\r\ncontent-length: " +
      std::to_string(text.size()) + "\r\n\r\n" + text;
  send(fd, response.data(), response.size(), MSG_NOSIGNAL);
}

Store::Json Store::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"createRev", item.created},
          {"lease", item.lease}};
}

void Store::Handle(int fd, const std::string& method, const std::string& target,
                   const std::string& body) {
  if (of_one_.count(fd) != 0 && Clock::now() < turned_away_until_) {
    ++turned_away_;
    Respond(fd, 503, Json::object());
    return;
  }
  const size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  const Json json =
      body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  if (path == "/v1/kv-key") {
    const std::string key = QueryValue(query, "key");
    const auto item = items_.find(key);
    if (item == items_.end()) {
      Respond(fd, 404, {{"asOf", revision_}});
      return;
    }
    Json reply = ToJson(key, item->second);
    reply["asOf"] = revision_;
    Respond(fd, 200, reply);
  } else if (path == "/v1/kv-range") {
    const std::string after = QueryValue(query, "after");
    Json rows = Json::array();
    for (const auto& [key, item] : items_) {
      if (!HasPrefix(key, QueryValue(query, "prefix"))) continue;
      if (!after.empty() && key <= after) continue;
      rows.push_back(ToJson(key, item));
    }
    Respond(fd, 200,
            {{"items", rows}, {"truncated", false}, {"asOf", revision_}});
  } else if (path == "/v1/kv-watch") {
    const Watch watch{
        fd, QueryValue(query, "prefix"),
        atoll(QueryValue(query, "after").c_str()),
        Clock::now() + Millis(atoll(QueryValue(query, "waitMs").c_str()))};
    if (!RespondToWatch(watch)) watches_.push_back(watch);
  } else if (path == "/v1/kv-txn") {
    Transact(fd, json);
  } else {
    HandleLease(fd, method, path, json);
  }
}

void Store::HandleLease(int fd, const std::string& method,
                        const std::string& path, const Json& body) {
  const std::string keep = "/v1/kv-keep/";
  const std::string end = "/v1/kv-lease-end/";
  if (path == "/v1/kv-lease") {
    const int64_t ttl = body.value("ttlMs", int64_t{1000});
    const int64_t lease = next_lease_++;
    leases_[lease] = {Millis(ttl), Clock::now() + Millis(ttl)};
    Respond(fd, 200, {{"lease", lease}, {"ttlMs", ttl}});
  } else if (HasPrefix(path, keep)) {
    const auto lease = leases_.find(atoll(path.c_str() + keep.size()));
    if (lease == leases_.end()) {
      Respond(fd, 404, Json::object());
      return;
    }
    lease->second.ends = Clock::now() + lease->second.ttl;
    Respond(fd, 200, Json::object());
    if (of_one_.count(fd) != 0 && on_renewal_) on_renewal_();
  } else if (HasPrefix(path, end) && method == "DELETE") {
    const int64_t lease = atoll(path.c_str() + end.size());
    const bool known = leases_.count(lease) != 0;
    EndLease(lease);
    Respond(fd, known ? 200 : 404, Json::object());
  } else {
    Respond(fd, 404, Json::object());
  }
}

void Store::Transact(int fd, const Json& body) {
  Json failed = Json::array();
  for (const Json& row : body.value("precondition", Json::array())) {
    const std::string key = row.value("key", "");
    const auto item = items_.find(key);
    const int64_t current = item == items_.end() ? 0 : item->second.revision;
    if (current == row.value("revision", int64_t{0})) continue;
    failed.push_back(item == items_.end() ? Json{{"key", key}, {"revision", 0}}
                                          : ToJson(key, item->second));
  }
  if (!failed.empty()) {
    Respond(fd, 412, {{"items", failed}});
    return;
  }
  const Json writes = body.value("writes", Json::array());
  for (const Json& row : writes) {
    const std::string key = row.value("key", "");
    const int64_t lease = row.value("lease", int64_t{0});
    if (HasPrefix(key, "op/") || HasPrefix(key, "servers/")) {
      Respond(fd, 403, Json::object());
      return;
    }
    if (lease != 0 && leases_.count(lease) == 0) {
      Respond(fd, 404, Json::object());
      return;
    }
  }
  for (const Json& row : writes) {
    Write(row.value("key", ""), FromBase64(row.value("value", "")),
          row.value("lease", int64_t{0}));
  }
  for (const Json& key : body.value("remove", Json::array())) {
    Remove(key.get<std::string>());
  }
  Respond(fd, 200, {{"revision", revision_}});
  RespondToWatches();
}

bool Store::RespondToWatch(const Watch& watch) {
  Json events = Json::array();
  for (const Change& change : changes_) {
    if (change.revision <= watch.after) continue;
    if (!HasPrefix(change.key, watch.prefix)) continue;
    if (change.removed) {
      events.push_back({{"key", change.key},
                        {"revision", change.revision},
                        {"removed", true}});
    } else {
      events.push_back(ToJson(change.key, change.item));
    }
  }
  if (events.empty() && Clock::now() < watch.deadline) return false;
  Respond(watch.fd, 200, {{"events", events}, {"asOf", revision_}});
  return true;
}

void Store::RespondToWatches() {
  watches_.remove_if(
      [this](const Watch& watch) { return RespondToWatch(watch); });
}

void Store::ExpireLeases() {
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (Clock::now() >= lease.ends) ended.push_back(id);
  }
  for (const int64_t id : ended) EndLease(id);
}

void Store::EndLease(int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

void Store::Write(const std::string& key, const std::string& value,
                  int64_t lease) {
  Item& item = items_[key];
  ++revision_;
  if (item.created == 0) item.created = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  changes_.push_back({revision_, key, false, item});
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  changes_.push_back({++revision_, key, true, {}});
}

}  // namespace review
