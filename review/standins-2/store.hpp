// Stand-in for the platform's store: keys, leases, watches.
#pragma once

#include <list>

#include "net.hpp"

// The few JSON values that the calls contain.
struct Json {
  enum Kind { kNull, kNumber, kString, kArray, kObject } kind = kNull;
  double number = 0;
  std::string text;
  std::vector<Json> items;
  std::map<std::string, Json> fields;

  const Json& at(const std::string& name) const {
    static const Json none;
    const auto it = fields.find(name);
    return it == fields.end() ? none : it->second;
  }
  int64_t integer(const std::string& name) const {
    return static_cast<int64_t>(at(name).number);
  }
  static Json parse(const std::string& s) {
    size_t at = 0;
    return value(s, at);
  }

 private:
  static void skip(const std::string& s, size_t& at) {
    while (at < s.size() && isspace(static_cast<uint8_t>(s[at]))) ++at;
  }
  static Json value(const std::string& s, size_t& at) {
    Json j;
    skip(s, at);
    if (at >= s.size()) return j;
    if (s[at] == '"') {
      j.kind = kString;
      for (++at; at < s.size() && s[at] != '"'; ++at) {
        if (s[at] == '\\') ++at;
        j.text += s[at];
      }
      ++at;
    } else if (s[at] == '[') {
      j.kind = kArray;
      for (++at, skip(s, at); at < s.size() && s[at] != ']';) {
        j.items.push_back(value(s, at));
        skip(s, at);
        if (s[at] == ',') ++at;
        skip(s, at);
      }
      ++at;
    } else if (s[at] == '{') {
      j.kind = kObject;
      for (++at, skip(s, at); at < s.size() && s[at] != '}';) {
        const std::string name = value(s, at).text;
        skip(s, at);
        ++at;  // The colon.
        j.fields[name] = value(s, at);
        skip(s, at);
        if (s[at] == ',') ++at;
        skip(s, at);
      }
      ++at;
    } else {
      j.kind = kNumber;
      char* end = nullptr;
      j.number = strtod(s.c_str() + at, &end);
      const auto parsed = static_cast<size_t>(end - s.c_str());
      if (parsed == at) {
        while (at < s.size() && isalpha(static_cast<uint8_t>(s[at]))) ++at;
      } else {
        at = parsed;
      }
    }
    return j;
  }
};

inline std::string base64(const std::string& in) {
  static const char* const k =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<uint8_t>(in[i]) << 16;
    if (i + 1 < in.size()) v |= static_cast<uint8_t>(in[i + 1]) << 8;
    if (i + 2 < in.size()) v |= static_cast<uint8_t>(in[i + 2]);
    out += k[v >> 18];
    out += k[(v >> 12) & 63];
    out += i + 1 < in.size() ? k[(v >> 6) & 63] : '=';
    out += i + 2 < in.size() ? k[v & 63] : '=';
  }
  return out;
}

class Store {
 public:
  // Machine i reaches the store at `port` + i, so that the store can tell them
  // apart.
  Store(Loop& loop, const std::string& ip, int port, int machines)
      : loop_(loop) {
    for (int i = 0; i < machines; ++i) {
      const int fd = listen_tcp(ip, port + i);
      if (fd < 0) cannot_run("no port for the store");
      loop_.watch(fd, POLLIN, [this, fd, i](short) {
        for (int c; (c = accept(fd, nullptr, nullptr)) >= 0;) {
          nonblocking(c);
          in_[c];
          machine_[c] = i;
          loop_.watch(c, POLLIN, [this, c](short) { on_bytes(c); });
        }
      });
    }
    tick();
  }
  // Turns a machine's calls away with 503 from now on, or no longer.
  void reject(int machine, bool rejected) { rejected_[machine] = rejected; }
  // Takes the keys of a machine away; its leases go on.
  void revoke(int machine) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease != 0 && lease_machine_[item.lease] == machine) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) remove(key);
    answer_watches();
  }
  // Another writer leaves bytes that can't be read under a machine's keys.
  void spoil(int machine) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease != 0 && lease_machine_[item.lease] == machine) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) write(key, base64("\xff\xfe odd"), 0);
    answer_watches();
  }
  // Called with each renewal of a lease by that machine.
  void on_renewal(int machine, std::function<void()> f) {
    renewal_machine_ = machine;
    on_renewal_ = std::move(f);
  }
  // What the operator writes; `value` is plain text.
  void put(const std::string& key, const std::string& value) {
    write(key, base64(value), 0);
    answer_watches();
  }
  bool has(const std::string& key) const { return items_.count(key) > 0; }

 private:
  struct Item {
    std::string value;  // base64
    int64_t revision = 0, created = 0, lease = 0;
  };
  struct Lease {
    Seconds until = 0, ttl = 0;
  };
  struct Event {
    int64_t revision;
    std::string key, value;
    bool removed;
  };
  struct Watch {
    int fd;
    std::string prefix;
    int64_t after;
    Seconds until;
  };

  void write(const std::string& key, const std::string& value, int64_t lease) {
    Item& item = items_[key];
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.value = value;
    item.lease = lease;
    events_.push_back({revision_, key, value, false});
  }
  void remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    events_.push_back({++revision_, key, "", true});
  }
  void end_lease(int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    for (const auto& key : keys) remove(key);
  }
  void tick() {
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.until < now()) ended.push_back(id);
    }
    for (const int64_t id : ended) end_lease(id);
    answer_watches();
    loop_.after(0.02, [this] { tick(); });
  }
  void on_bytes(int fd) {
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      loop_.unwatch(fd);
      close(fd);
      in_.erase(fd);
      watches_.remove_if([fd](const Watch& w) { return w.fd == fd; });
      return;
    }
    std::string& in = in_[fd];
    in.append(bytes, static_cast<size_t>(n));
    Message m;
    while (take_message(in, m)) on_call(fd, m);
  }
  static std::string field(const std::string& query, const std::string& name) {
    size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    std::string out;
    for (; at < query.size() && query[at] != '&'; ++at) {
      if (query[at] == '%') {
        out += static_cast<char>(strtol(query.substr(at + 1, 2).c_str(),
                                        nullptr, 16));
        at += 2;
      } else {
        out += query[at];
      }
    }
    return out;
  }
  std::string row(const std::string& key, const Item& item) const {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"createRev\":" + std::to_string(item.created) +
           ",\"lease\":" + std::to_string(item.lease);
  }
  std::string as_of() const {
    return "\"asOf\":" + std::to_string(revision_);
  }
  void reply(int fd, int status, const std::string& body) {
    const std::string text = format_response(status, body);
    // An answer takes 4 ms.
    loop_.after(0.004, [this, fd, text] {
      if (in_.count(fd)) send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    });
  }
  void on_call(int fd, const Message& m) {
    const size_t space = m.first.find(' ');
    const size_t end = m.first.find(' ', space + 1);
    const std::string target = m.first.substr(space + 1, end - space - 1);
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query =
        mark == std::string::npos ? "" : target.substr(mark + 1);
    const Json body = Json::parse(m.body);
    if (rejected_[machine_[fd]]) return reply(fd, 503, "{}");
    if (path == "/v1/kv-key") {
      const auto it = items_.find(field(query, "key"));
      if (it == items_.end()) return reply(fd, 404, "{}");
      return reply(fd, 200, row(it->first, it->second) + "," + as_of() + "}");
    }
    if (path == "/v1/kv-range") {
      const std::string prefix = field(query, "prefix");
      std::string rows;
      for (const auto& [key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) != 0) continue;
        rows += (rows.empty() ? "" : ",") + row(key, item) + "}";
      }
      return reply(fd, 200, "{\"items\":[" + rows + "],\"truncated\":false," +
                                as_of() + "}");
    }
    if (path == "/v1/kv-watch") {
      watches_.push_back({fd, field(query, "prefix"),
                          atoll(field(query, "after").c_str()),
                          now() + atof(field(query, "waitMs").c_str()) / 1000});
      return answer_watches();
    }
    if (path == "/v1/kv-txn") return transact(fd, body);
    if (path == "/v1/kv-lease") {
      const int64_t ttl = body.integer("ttlMs");
      const int64_t id = ++lease_;
      leases_[id] = {now() + ttl / 1000.0, ttl / 1000.0};
      lease_machine_[id] = machine_[fd];
      return reply(fd, 200, "{\"lease\":" + std::to_string(id) +
                                ",\"ttlMs\":" + std::to_string(ttl) + "}");
    }
    const std::string id = path.substr(path.rfind('/') + 1);
    const auto lease = leases_.find(atoll(id.c_str()));
    if (lease == leases_.end()) return reply(fd, 404, "{}");
    if (path.compare(0, 12, "/v1/kv-keep/") == 0) {
      lease->second.until = now() + lease->second.ttl;
      if (on_renewal_ && machine_[fd] == renewal_machine_) {
        loop_.after(0.01, on_renewal_);
      }
    } else {
      end_lease(lease->first);
      answer_watches();
    }
    reply(fd, 200, "{}");
  }
  void transact(int fd, const Json& body) {
    std::string failed;
    for (const Json& r : body.at("precondition").items) {
      const std::string key = r.at("key").text;
      const auto it = items_.find(key);
      const int64_t revision = it == items_.end() ? 0 : it->second.revision;
      if (revision == r.integer("revision")) continue;
      failed += (failed.empty() ? "" : ",");
      failed += it == items_.end()
                    ? "{\"key\":\"" + key + "\",\"revision\":0}"
                    : row(key, it->second) + "}";
    }
    if (!failed.empty()) return reply(fd, 412, "{\"items\":[" + failed + "]}");
    for (const Json& w : body.at("writes").items) {
      const int64_t lease = w.integer("lease");
      if (lease != 0 && !leases_.count(lease)) return reply(fd, 404, "{}");
    }
    for (const Json& w : body.at("writes").items) {
      write(w.at("key").text, w.at("value").text, w.integer("lease"));
    }
    for (const Json& key : body.at("remove").items) remove(key.text);
    reply(fd, 200, "{\"revision\":" + std::to_string(revision_) + "}");
    answer_watches();
  }
  void answer_watches() {
    for (auto it = watches_.begin(); it != watches_.end();) {
      std::string rows;
      for (const Event& e : events_) {
        if (e.revision <= it->after ||
            e.key.compare(0, it->prefix.size(), it->prefix) != 0) {
          continue;
        }
        rows += rows.empty() ? "" : ",";
        rows += "{\"key\":\"" + e.key + "\",\"revision\":" +
                std::to_string(e.revision) +
                (e.removed ? std::string(",\"removed\":true}")
                           : ",\"value\":\"" + e.value + "\"}");
      }
      if (rows.empty() && now() < it->until) {
        ++it;
        continue;
      }
      reply(it->fd, 200, "{\"events\":[" + rows + "]," + as_of() + "}");
      it = watches_.erase(it);
    }
  }

  Loop& loop_;
  std::map<int, std::string> in_;
  std::map<int, int> machine_;
  std::map<int, bool> rejected_;
  std::map<int64_t, int> lease_machine_;
  int renewal_machine_ = -1;
  std::function<void()> on_renewal_;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::vector<Event> events_;
  std::list<Watch> watches_;
  int64_t revision_ = 100, lease_ = 1000;
};
