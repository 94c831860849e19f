#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "loop.h"

namespace review {

/** The platform's metadata store, as PROTOCOL.md describes it. */
class Store {
 public:
  /** Listens at both addresses; one machine uses the second one alone. */
  Store(Loop& loop, const std::string& ip, const std::string& ip_of_one,
        uint16_t port);

  /** Writes a key as the operator or another writer would, without a lease. */
  void Put(const std::string& key, const std::string& value);
  /**
   * Turns the machine at the second address away (503) for that time, and takes
   * the keys with the prefix away at once, which no request shows.
   */
  void TurnAway(Millis time, const std::string& prefix);
  /** Calls back for each lease that this machine renews. */
  void OnRenewalOfOne(Loop::Callback callback) {
    on_renewal_ = std::move(callback);
  }
  /** Returns the calls of this machine that were turned away. */
  int turned_away() const { return turned_away_; }
  /** Returns the values of all keys with the prefix. */
  std::map<std::string, std::string> Values(const std::string& prefix) const;

 private:
  using Json = nlohmann::json;
  using TimePoint = Clock::time_point;

  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Change {
    int64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease {
    Millis ttl{};
    TimePoint ends{};
  };
  struct Watch {
    int fd = -1;
    std::string prefix;
    int64_t after = 0;
    TimePoint deadline{};
  };

  int Listen(const std::string& ip, uint16_t port);
  void Accept(int listener);
  void Receive(int fd);
  void Close(int fd);
  /** Handles the first whole request of the connection, if there is one. */
  bool HandleNext(int fd);
  void Handle(int fd, const std::string& method, const std::string& target,
              const std::string& body);
  void Respond(int fd, int status, const Json& body);
  void Transact(int fd, const Json& body);
  void HandleLease(int fd, const std::string& method, const std::string& path,
                   const Json& body);
  bool RespondToWatch(const Watch& watch);
  void RespondToWatches();
  void ExpireLeases();
  void EndLease(int64_t lease);
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  static Json ToJson(const std::string& key, const Item& item);

  Loop& loop_;
  int listener_of_one_ = -1;
  /** Connections of the machine that uses the second address. */
  std::set<int> of_one_;
  TimePoint turned_away_until_{};
  int turned_away_ = 0;
  Loop::Callback on_renewal_;
  std::map<int, std::string> received_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<int64_t, Lease> leases_;
  std::list<Watch> watches_;
  int64_t revision_ = 0;
  int64_t next_lease_ = 1000;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_H_
