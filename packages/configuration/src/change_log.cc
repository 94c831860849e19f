#include "configuration/change_log.h"

#include <cstdio>
#include <utility>

#include "configuration/zone_mode.h"
#include "schema/codec.h"

namespace sesamesaddle {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kWatchWait = std::chrono::seconds(30);
constexpr Duration kWatchRetryDelay = std::chrono::seconds(1);

}  // namespace

std::string LogKey(int64_t revision) {
  char digits[20];
  snprintf(digits, sizeof(digits), "%012lld",
           static_cast<long long>(revision));  // NOLINT(google-runtime-int)
  return kLogPrefix + std::string(digits);
}

struct ChangeLog::Submission {
  schema::ChangeRecord record;
  TimePoint settle_deadline;
  Done done;
  // Whether an attempt to create the record may have taken effect.
  bool may_have_written = false;
};

ChangeLog::ChangeLog(Store& store, Scheduler& scheduler,
                     const ConfigurationReplica& replica, OnRecord on_record,
                     OnSnapshot on_snapshot)
    : store_(store),
      scheduler_(scheduler),
      replica_(replica),
      on_record_(std::move(on_record)),
      on_snapshot_(std::move(on_snapshot)) {}

void ChangeLog::Submit(schema::ChangeRecord record, Duration limit, Done done) {
  auto submission = std::make_shared<Submission>();
  submission->record = std::move(record);
  AddInstanceForm(submission->record.change);
  submission->settle_deadline = scheduler_.Now() + limit;
  submission->done = std::move(done);
  // A process that is behind must not create the key of a revision that was
  // trimmed, so it loads the log first. A failed load is ignored: if the store
  // is unavailable, the attempt fails as well.
  Load([this, submission](bool) { Attempt(submission); });
}

void ChangeLog::Attempt(const std::shared_ptr<Submission>& submission) {
  schema::ChangeRecord& record = submission->record;
  // While the outcome of creating a revision is unknown, only that revision is
  // retried: the same change under a second key could be applied twice.
  if (!submission->may_have_written) {
    record.revision = replica_.revision().value() + 1;
    schema::Configuration trial = replica_.current();
    const auto applied = ApplyChange(trial, record.change, record.revision);
    if (!applied) {
      submission->done(
          {SubmitResult::Outcome::kRefused, 0, applied.error().message});
      return;
    }
  }
  store_.Create(LogKey(record.revision), EncodeCompact(record), kNoLease,
                [this, submission](auto result) {
                  OnCreated(submission, std::move(result));
                });
}

void ChangeLog::OnCreated(const std::shared_ptr<Submission>& submission,
                          tl::expected<KeyVersion, StoreError> result) {
  if (result) {
    CheckNotTrimmed(submission);
    return;
  }
  switch (result.error()) {
    case StoreError::kExists:
      ReadConflictingRecord(submission);
      return;
    case StoreError::kOutcomeUnknown:
      submission->may_have_written = true;
      Retry(submission);
      return;
    case StoreError::kTooLarge:
      submission->done({SubmitResult::Outcome::kRefused, 0,
                        std::string(Describe(result.error()))});
      return;
    default:
      Retry(submission);
      return;
  }
}

void ChangeLog::CheckNotTrimmed(const std::shared_ptr<Submission>& submission) {
  store_.Read(kSnapshotKey, [this, submission](auto read) {
    int64_t snapshot_revision = 0;
    if (read) {
      const auto snapshot = DecodeCompact<schema::Configuration>(read->value);
      if (snapshot) snapshot_revision = snapshot->revision;
    }
    const int64_t revision = submission->record.revision;
    if (snapshot_revision < revision + kRecordsKeptBeforeSnapshot) {
      Accept(submission);
      return;
    }
    // This process was paused for so long that the log may have been trimmed
    // beyond this revision.
    store_.Remove(LogKey(revision), [](auto) {});
    submission->done({SubmitResult::Outcome::kUnknown, 0,
                      "the log was trimmed while the change was written"});
  });
}

void ChangeLog::ReadConflictingRecord(
    const std::shared_ptr<Submission>& submission) {
  store_.Read(
      LogKey(submission->record.revision), [this, submission](auto read) {
        if (!read) {
          Retry(submission);
          return;
        }
        const auto existing = DecodeCompact<schema::ChangeRecord>(read->value);
        if (!existing) {
          submission->done({SubmitResult::Outcome::kUnknown, 0,
                            "the log holds a record that cannot be read"});
          return;
        }
        if (existing->change_id == submission->record.change_id) {
          Accept(submission);
          return;
        }
        // Another change has this revision, so this one was not written.
        submission->may_have_written = false;
        on_record_(*existing);
        if (replica_.revision().value() < existing->revision) {
          Load([this, submission](bool) { Retry(submission); });
          return;
        }
        Attempt(submission);
      });
}

void ChangeLog::Retry(const std::shared_ptr<Submission>& submission) {
  if (scheduler_.Now() + kRetryDelay >= submission->settle_deadline) {
    submission->done({SubmitResult::Outcome::kUnknown, 0,
                      "the platform did not settle the change in time"});
    return;
  }
  scheduler_.After(kRetryDelay, [this, submission] { Attempt(submission); });
}

void ChangeLog::Accept(const std::shared_ptr<Submission>& submission) {
  const schema::ChangeRecord record = submission->record;
  on_record_(record);
  if (record.revision % kSnapshotInterval == 0) WriteSnapshot();
  submission->done({SubmitResult::Outcome::kAccepted, record.revision, ""});
}

void ChangeLog::Load(std::function<void(bool loaded)> done) {
  store_.Read(kSnapshotKey, [this, done = std::move(done)](auto read) {
    if (!read && read.error() != StoreError::kNotFound) {
      done(false);
      return;
    }
    if (read) {
      const auto snapshot = DecodeCompact<schema::Configuration>(read->value);
      if (snapshot) on_snapshot_(*snapshot);
    }
    LoadLog(done);
  });
}

void ChangeLog::LoadLog(std::function<void(bool loaded)> done) {
  store_.List(kLogPrefix, [this, done = std::move(done)](auto list) {
    if (list) Deliver(*list);
    done(list.has_value());
  });
}

void ChangeLog::Deliver(const schema::KeyValueList& list) {
  for (const schema::KeyValue& item : list.items) {
    if (item.deleted) continue;
    const auto record = DecodeCompact<schema::ChangeRecord>(item.value);
    if (record) on_record_(*record);
  }
  // An older revision in a reply must not move the watch position back.
  if (list.revision > store_revision_) store_revision_ = list.revision;
}

void ChangeLog::Follow() {
  if (following_) return;
  following_ = true;
  ++watch_generation_;
  WatchOnce();
}

void ChangeLog::StopFollowing() {
  following_ = false;
  ++watch_generation_;
}

void ChangeLog::WatchOnce() {
  const int64_t generation = watch_generation_;
  store_.Watch(kLogPrefix, store_revision_, kWatchWait,
               [this, generation](auto list) {
                 if (generation != watch_generation_) return;
                 if (list) {
                   Deliver(*list);
                   WatchOnce();
                   return;
                 }
                 scheduler_.After(kWatchRetryDelay, [this, generation] {
                   if (generation == watch_generation_) WatchOnce();
                 });
               });
}

void ChangeLog::WriteSnapshot() {
  store_.Read(kSnapshotKey, [this](auto read) {
    if (read) {
      const auto stored = DecodeCompact<schema::Configuration>(read->value);
      if (stored && stored->revision >= replica_.revision().value()) return;
      SaveSnapshot(KeyVersion(read->version));
    } else if (read.error() == StoreError::kNotFound) {
      store_.Create(kSnapshotKey, EncodeCompact(replica_.current()), kNoLease,
                    [](auto) {});
    }
  });
}

void ChangeLog::SaveSnapshot(KeyVersion expected) {
  store_.CompareAndSwap(kSnapshotKey, expected,
                        EncodeCompact(replica_.current()), kNoLease,
                        [this](auto saved) {
                          if (saved) Trim();
                        });
}

void ChangeLog::Trim() {
  const int64_t oldest_kept =
      replica_.revision().value() - kRecordsKeptBeforeSnapshot;
  for (int64_t revision = oldest_kept - kSnapshotInterval;
       revision < oldest_kept; ++revision) {
    if (revision > 0) store_.Remove(LogKey(revision), [](auto) {});
  }
}

}  // namespace sesamesaddle
