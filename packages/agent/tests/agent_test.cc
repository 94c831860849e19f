#include "agent/agent.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "agent/peer_request_table.h"
#include "coap/message.h"
#include "schema/flow_key.h"

namespace sesamesaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(std::chrono::hours(1));
constexpr Endpoint kService(0x7f000101, 5683);
constexpr Endpoint kOtherService(0x7f000102, 5683);
constexpr Endpoint kBalancer(INADDR_LOOPBACK, 50);
const Flow kFlow{Endpoint(10, 1), kService};

schema::MemberRecord MakeRecord(const std::string& name,
                                schema::Role::type role, uint16_t port) {
  schema::MemberRecord record;
  record.name = name;
  record.role = role;
  record.endpoint = Endpoint(INADDR_LOOPBACK, port).Pack();
  record.zone = "z";
  record.state = schema::MemberState::kAlive;
  record.slots = 2;
  record.born_ms = 1;
  record.id = MakeMemberId(name, 1).value();
  return record;
}

/** A single agent that serves service 1; its actions are collected. */
class AgentFixture {
 public:
  explicit AgentFixture(AgentOptions options = MakeOptions())
      : random_(1),
        agent_(MakeRecord("a-0", schema::Role::kAgent, 100), options, random_) {
    Tick(milliseconds(0));
    schema::PeerMessage message;
    schema::Gossip gossip;
    gossip.kind = schema::GossipKind::kAck;
    gossip.sender = MakeRecord("b", schema::Role::kBalancer, 50);
    message.__set_gossip(gossip);
    Receive(message);
    AddService(1, "s", kService, "a-*");
    AddService(3, "other", kOtherService, "x-*");
  }

  static AgentOptions MakeOptions() {
    AgentOptions options;
    options.runner.slots = 2;
    options.runner.queue_limit = 4;
    return options;
  }

  void AddService(int64_t revision, const std::string& name,
                  const Endpoint& address, const std::string& pattern) {
    schema::ChangeRecord record;
    record.revision = revision;
    schema::CreateService create;
    create.name = name;
    create.address = address.Pack();
    record.change.__set_create_service(create);
    Outbox out;
    agent_.control().OnRecord(record, out);
    AllowTargets(revision + 1, name, pattern);
  }

  void AllowTargets(int64_t revision, const std::string& service,
                    const std::string& pattern) {
    schema::AllowTargets allow;
    allow.service_name = service;
    allow.rule.pattern = pattern;
    schema::ChangeRecord record;
    record.revision = revision;
    record.change.__set_allow_targets(allow);
    Outbox out;
    agent_.control().OnRecord(record, out);
    Tick(milliseconds(10));
  }

  schema::Envelope MakeEnvelope(const std::string& payload) const {
    schema::Envelope envelope;
    envelope.service_id = 1;
    envelope.flow = ToKey(kFlow);
    envelope.revision = 4;
    envelope.balancer = kBalancer.Pack();
    envelope.hops = 0;
    envelope.purpose = schema::Purpose::kRoute;
    envelope.recipient = agent_.control().self_id().value();
    envelope.payload = payload;
    envelope.epoch = 0;
    return envelope;
  }

  void Receive(const schema::PeerMessage& message) {
    Outbox out;
    agent_.OnMessage(now_, kBalancer, message, out);
    CollectActions(out);
  }
  void Deliver(const std::string& payload) {
    Receive(Wrap(MakeEnvelope(payload)));
  }
  void Deliver(const coap::Message& message) { Deliver(coap::Encode(message)); }
  void Respond(CallId id, TargetResponse response) {
    Outbox out;
    agent_.OnTargetResponse(now_, id, std::move(response), out);
    CollectActions(out);
  }
  /** Advances the time; a running process ticks more than once a second. */
  void Tick(Duration later) {
    constexpr Duration kStep = milliseconds(500);
    for (; later > kStep; later -= kStep) Pause(kStep);
    Pause(later);
  }
  /** Advances the time without a tick, like a paused process, then ticks. */
  void Pause(Duration later) {
    now_ += later;
    Outbox out;
    agent_.OnTick(now_, out);
    CollectActions(out);
  }

  /** Returns the CoAP messages sent since the last call. */
  std::vector<coap::Message> TakeResponses() {
    return std::exchange(responses_, {});
  }
  coap::Message TakeResponse() {
    REQUIRE(responses_.size() == 1);
    return TakeResponses()[0];
  }
  std::vector<StartCall> TakeCalls() { return std::exchange(calls_, {}); }
  StartCall TakeCall() {
    REQUIRE(calls_.size() == 1);
    return TakeCalls()[0];
  }

  std::vector<schema::PeerMessage> sent;
  std::vector<CallId> cancelled;
  Agent& agent() { return agent_; }
  TimePoint now() const { return now_; }

 private:
  void CollectActions(Outbox& out) {
    for (const Action& action : out.Take()) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        calls_.push_back(*start);
      } else if (const auto* cancel = std::get_if<CancelCall>(&action)) {
        cancelled.push_back(cancel->id);
      } else if (const auto* send = std::get_if<SendToPeer>(&action)) {
        sent.push_back(send->message);
        if (!send->message.__isset.answer) continue;
        responses_.push_back(coap::Parse(send->message.answer.payload).value());
      }
    }
  }

  SeededRandom random_;
  Agent agent_;
  TimePoint now_ = kStart;
  std::vector<coap::Message> responses_;
  std::vector<StartCall> calls_;
};

coap::Message MakeRequest(coap::Code method, uint16_t id) {
  coap::Message message;
  message.code = method;
  message.message_id = id;
  message.token = "t" + std::to_string(id);
  message.Add(coap::OptionNumber::kUriPath, "p");
  return message;
}

TargetResponse CompleteResponse(int status, const std::string& body) {
  TargetResponse response;
  response.kind = TargetResponse::Kind::kComplete;
  response.status = status;
  response.content_type = "text/plain";
  response.body = body;
  return response;
}

TEST_CASE("A repeated GET gets the same response without a second run") {
  AgentFixture fixture;
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  const StartCall call = fixture.TakeCall();
  CHECK(call.request.path == "/p");
  CHECK(call.request.service == "s");
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  CHECK(fixture.TakeCalls().empty());
  fixture.Respond(call.id, CompleteResponse(200, "body"));
  const coap::Message response = fixture.TakeResponse();
  CHECK(response.type == coap::Type::kAcknowledgement);
  CHECK(response.code == coap::Code::kContent);
  CHECK(response.message_id == 1);
  CHECK(response.token == "t1");
  CHECK(response.payload == "body");
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  CHECK(coap::Encode(fixture.TakeResponse()) == coap::Encode(response));
  CHECK(fixture.TakeCalls().empty());
}

TEST_CASE("Reordered responses match their requests, late ones are dropped") {
  AgentFixture fixture;
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  const StartCall first = fixture.TakeCall();
  fixture.Deliver(MakeRequest(coap::Code::kGet, 2));
  const StartCall second = fixture.TakeCall();
  fixture.Respond(second.id, CompleteResponse(200, "two"));
  fixture.Respond(first.id, CompleteResponse(200, "one"));
  const auto responses = fixture.TakeResponses();
  REQUIRE(responses.size() == 2);
  CHECK(responses[0].token == "t2");
  CHECK(responses[0].payload == "two");
  CHECK(responses[1].payload == "one");
  fixture.Respond(first.id, CompleteResponse(200, "late"));
  CHECK(fixture.TakeResponses().empty());
}

/** Sends a POST without Echo. Returns the Echo value of the challenge. */
std::string ObtainEcho(AgentFixture& fixture, uint16_t id) {
  fixture.Deliver(MakeRequest(coap::Code::kPost, id));
  CHECK(fixture.TakeCalls().empty());
  const coap::Message challenge = fixture.TakeResponse();
  CHECK(challenge.code == coap::Code::kUnauthorized);
  return challenge.Find(coap::OptionNumber::kEcho)->value;
}

coap::Message RequestWithEcho(uint16_t id, const std::string& echo) {
  coap::Message message = MakeRequest(coap::Code::kPost, id);
  message.Add(coap::OptionNumber::kEcho, echo);
  return message;
}

TEST_CASE("A POST runs only with an Echo value and once for each value") {
  AgentFixture fixture;
  const std::string echo = ObtainEcho(fixture, 1);
  fixture.Deliver(RequestWithEcho(2, echo));
  const StartCall call = fixture.TakeCall();
  CHECK_FALSE(call.request.idempotent);
  fixture.Deliver(RequestWithEcho(3, echo));  // Joins the running request.
  CHECK(fixture.TakeCalls().empty());
  fixture.Respond(call.id, CompleteResponse(201, "done"));
  auto responses = fixture.TakeResponses();
  REQUIRE(responses.size() == 2);
  CHECK(responses[0].code == coap::Code::kCreated);
  CHECK(responses[1].token == "t3");
  fixture.Deliver(RequestWithEcho(4, echo));  // Gets the recorded response.
  CHECK(fixture.TakeResponse().payload == "done");
  coap::Message other = RequestWithEcho(5, echo);
  other.payload = "another order";
  fixture.Deliver(other);
  CHECK(fixture.TakeResponse().code == coap::Code::kUnauthorized);
  CHECK(fixture.TakeCalls().empty());
}

TEST_CASE("An Echo value of a gone owner gets 5.04 without a new challenge") {
  AgentFixture previous;
  const std::string echo = ObtainEcho(previous, 1);
  AgentOptions options = AgentFixture::MakeOptions();
  AgentFixture fixture(options);
  std::string foreign = echo;
  foreign[0] = static_cast<char>(foreign[0] ^ 1);  // Names another issuer.
  fixture.Deliver(RequestWithEcho(2, foreign));
  CHECK(fixture.TakeCalls().empty());
  const coap::Message response = fixture.TakeResponse();
  CHECK(response.code == coap::Code::kGatewayTimeout);
  CHECK(response.Find(coap::OptionNumber::kEcho) == nullptr);
}

/** Makes another agent of the service known, to which flows can be moved. */
void AddPeerAgent(AgentFixture& fixture, const schema::MemberRecord& peer) {
  schema::Gossip gossip;
  gossip.kind = schema::GossipKind::kAck;
  gossip.sender = peer;
  schema::PeerMessage message;
  message.__set_gossip(gossip);
  fixture.Receive(message);
  schema::LoadReport report;
  report.sender = peer.id;
  report.slots = peer.slots;
  report.accepting = true;
  message = schema::PeerMessage();
  message.__set_load_report(report);
  fixture.Receive(message);
}

/** Returns the only handover batch sent since `sent` was cleared. */
schema::Handover TakeHandover(AgentFixture& fixture) {
  std::vector<schema::Handover> batches;
  for (const schema::PeerMessage& message : fixture.sent) {
    if (message.__isset.handover) batches.push_back(message.handover);
  }
  fixture.sent.clear();
  REQUIRE(batches.size() == 1);
  return batches[0];
}

void AcknowledgeHandover(AgentFixture& fixture, const schema::Handover& batch,
                         MemberId from) {
  schema::HandoverAck ack;
  ack.batch = batch.batch;
  ack.sender = from.value();
  ack.taken = true;
  schema::PeerMessage message;
  message.__set_handover_ack(ack);
  fixture.Receive(message);
}

/** Delivers a datagram as the agent that placed its flow anew forwards it. */
void DeliverToIssuer(AgentFixture& fixture, const coap::Message& request) {
  schema::Envelope envelope = fixture.MakeEnvelope(coap::Encode(request));
  envelope.purpose = schema::Purpose::kEchoIssuer;
  envelope.hops = 1;
  fixture.Receive(Wrap(envelope));
}

// The agent that took over the flow may have run the request and died; the
// flow's next owner then asks the issuer, which must not run it once more.
TEST_CASE(
    "After a handover the issuer of an Echo value runs nothing under it") {
  AgentFixture fixture;
  const std::string answered = ObtainEcho(fixture, 1);
  fixture.Deliver(RequestWithEcho(2, answered));
  fixture.Respond(fixture.TakeCall().id, CompleteResponse(201, "done"));
  fixture.TakeResponses();
  const std::string unused = ObtainEcho(fixture, 3);
  const auto peer = MakeRecord("a-1", schema::Role::kAgent, 101);
  AddPeerAgent(fixture, peer);
  fixture.sent.clear();
  fixture.agent().BeginStop(fixture.now());
  fixture.Tick(milliseconds(10));
  const schema::Handover batch = TakeHandover(fixture);
  AcknowledgeHandover(fixture, batch, MemberId(peer.id));
  REQUIRE(fixture.agent().flows().owned().empty());
  DeliverToIssuer(fixture, RequestWithEcho(4, unused));
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.TakeResponse().code == coap::Code::kGatewayTimeout);
  DeliverToIssuer(fixture, RequestWithEcho(5, answered));
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.TakeResponse().payload == "done");
}

// The sender keeps the flows of a batch when one acknowledgement refuses it. A
// later copy that was accepted would leave the flow with two owners.
TEST_CASE("All copies of a handover get the answer of the first") {
  AgentFixture fixture;
  schema::Handover batch;
  batch.batch = 1;
  batch.sender = 9;
  schema::FlowState state;
  state.flow = ToKey(kFlow);
  state.service_id = 1;
  batch.flows.push_back(state);
  const auto deliver = [&] {
    schema::PeerMessage message;
    message.__set_handover(batch);
    fixture.sent.clear();
    fixture.Receive(message);
    for (const schema::PeerMessage& reply : fixture.sent) {
      if (reply.__isset.handover_ack) return reply.handover_ack.taken;
    }
    FAIL("no acknowledgement");
    return false;
  };
  batch.flows[0].service_id = 3;  // Not served here until the rule below.
  CHECK_FALSE(deliver());
  fixture.AllowTargets(5, "other", "a-*");
  CHECK_FALSE(deliver());
  CHECK(fixture.agent().flows().owned().empty());
  batch.batch = 2;
  CHECK(deliver());
  CHECK(deliver());
  CHECK(fixture.agent().flows().owned().size() == 1);
}

TEST_CASE("The response to a POST states whether it ran") {
  AgentFixture fixture;
  const auto outcome = [&](uint16_t id, TargetResponse response) {
    const std::string echo = ObtainEcho(fixture, id);
    fixture.Deliver(RequestWithEcho(static_cast<uint16_t>(id + 1), echo));
    fixture.Respond(fixture.TakeCall().id, std::move(response));
    return fixture.TakeResponse();
  };
  TargetResponse response;
  response.kind = TargetResponse::Kind::kNotSent;
  CHECK(outcome(10, response).payload ==
        R"({"outcome":"not_run","reason":"target_unreachable"})");
  response = CompleteResponse(503, "");
  response.shed = true;
  CHECK(outcome(20, response).payload ==
        R"({"outcome":"not_run","reason":"target_shed"})");
  response.shed = false;
  response.kind = TargetResponse::Kind::kLost;
  CHECK(outcome(30, response).payload ==
        R"({"outcome":"unknown","reason":"answer_lost"})");
  response.kind = TargetResponse::Kind::kTruncated;
  CHECK(outcome(40, response).payload ==
        R"({"outcome":"unknown","reason":"answer_cut"})");
  CHECK(outcome(50, CompleteResponse(500, "")).code ==
        coap::Code::kInternalServerError);
}

TEST_CASE("A GET whose first attempt may have run ends as unknown") {
  AgentFixture fixture;
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  TargetResponse response;
  response.kind = TargetResponse::Kind::kLost;
  fixture.Respond(fixture.TakeCall().id, response);
  CHECK(fixture.TakeCalls().empty());  // No other agent serves it.
  CHECK(fixture.TakeResponse().payload ==
        R"({"outcome":"unknown","reason":"answer_lost"})");
}

TEST_CASE("A full queue refuses at once, a deadline ends running requests") {
  AgentFixture fixture;
  for (uint16_t id = 1; id <= 6; ++id) {
    fixture.Deliver(MakeRequest(coap::Code::kGet, id));
  }
  CHECK(fixture.TakeCalls().size() == 2);  // Two slots; four requests wait.
  CHECK(fixture.TakeResponses().empty());
  fixture.Deliver(MakeRequest(coap::Code::kGet, 7));
  const coap::Message refusal = fixture.TakeResponse();
  CHECK(refusal.code == coap::Code::kServiceUnavailable);
  CHECK(refusal.FindUint(coap::OptionNumber::kMaxAge).has_value());
  fixture.Tick(seconds(10));
  CHECK(fixture.cancelled.size() == 2);
  int not_run = 0;
  int unknown = 0;
  for (const coap::Message& response : fixture.TakeResponses()) {
    not_run +=
        static_cast<int>(response.payload.find("not_run") != std::string::npos);
    unknown +=
        static_cast<int>(response.payload.find("unknown") != std::string::npos);
  }
  CHECK(not_run == 4);
  CHECK(unknown == 2);
}

/** @param zone  drain the whole zone instead of the agent alone */
void CheckDrainGrace(bool zone) {
  AgentFixture fixture;
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  const StartCall call = fixture.TakeCall();
  const auto change = [&](int64_t revision, const schema::Change& what) {
    schema::ChangeRecord record;
    record.revision = revision;
    record.change = what;
    Outbox out;
    fixture.agent().control().OnRecord(record, out);
  };
  schema::ChangeService grace;
  grace.name = "s";
  grace.__set_drain_grace_ms(2000);
  schema::Change shorter;
  shorter.__set_change_service(grace);
  change(5, shorter);
  schema::SetInstanceMode drain;
  drain.name = "a-0";
  drain.mode = schema::InstanceMode::kDraining;
  schema::SetZoneMode evacuate;
  evacuate.zone = "z";
  evacuate.evacuated = true;
  schema::Change leave;
  if (zone) {
    leave.__set_set_zone_mode(evacuate);
  } else {
    leave.__set_set_instance_mode(drain);
  }
  change(6, leave);
  fixture.Tick(milliseconds(10));
  fixture.Tick(milliseconds(1900));
  CHECK(fixture.cancelled.empty());
  fixture.Tick(milliseconds(200));
  CHECK(fixture.cancelled == std::vector<CallId>{call.id});
  CHECK(fixture.TakeResponse().payload.find("unknown") != std::string::npos);
}

TEST_CASE("A request running at a drain ends after the drain grace") {
  CheckDrainGrace(false);
}

TEST_CASE("A request running at an evacuation ends after the drain grace") {
  CheckDrainGrace(true);
}

TEST_CASE("Unsupported requests get the matching CoAP error code") {
  AgentFixture fixture;
  coap::Message request = MakeRequest(static_cast<coap::Code>(5), 1);  // FETCH
  fixture.Deliver(request);
  CHECK(fixture.TakeResponse().code == coap::Code::kMethodNotAllowed);
  request = MakeRequest(coap::Code::kPut, 2);
  request.AddUint(coap::OptionNumber::kBlock1, 8);
  fixture.Deliver(request);
  CHECK(fixture.TakeResponse().code == coap::Code::kRequestEntityTooLarge);
  request = MakeRequest(coap::Code::kGet, 3);
  request.options.push_back({2049, ""});
  fixture.Deliver(request);
  CHECK(fixture.TakeResponse().code == coap::Code::kBadOption);
  request = MakeRequest(coap::Code::kPut, 4);
  request.payload = std::string(coap::kMaxMessageBytes, 'x');
  fixture.Deliver(request);
  const coap::Message large = fixture.TakeResponse();
  CHECK(large.code == coap::Code::kRequestEntityTooLarge);
  CHECK(large.token == "t4");
  CHECK(fixture.TakeCalls().empty());
}

TEST_CASE("A valid request is served after malformed datagrams") {
  AgentFixture fixture;
  rc::prop("random and mutated bytes", [&](const std::string& bytes,
                                           uint8_t position, char value) {
    fixture.Deliver(bytes);
    std::string mutated = coap::Encode(MakeRequest(coap::Code::kGet, 9));
    mutated[position % mutated.size()] = value;
    fixture.Deliver(mutated);
  });
  for (const StartCall& call : fixture.TakeCalls()) {
    fixture.Respond(call.id, CompleteResponse(200, ""));
  }
  fixture.Tick(seconds(11));
  fixture.TakeResponses();
  fixture.TakeCalls();
  fixture.Deliver(MakeRequest(coap::Code::kGet, 60000));
  CHECK(fixture.TakeCalls().size() == 1);
}

TEST_CASE("A message received during a pause of the process is not answered") {
  AgentFixture fixture;
  fixture.Tick(milliseconds(10));
  // Datagrams sent during the pause are read after the next tick.
  fixture.Pause(seconds(3));
  fixture.Deliver(MakeRequest(coap::Code::kPost, 7));
  CHECK(fixture.TakeResponses().empty());
  fixture.Tick(ControlPlane::kBacklogDuration + milliseconds(10));
  fixture.Deliver(MakeRequest(coap::Code::kPost, 8));
  CHECK(fixture.TakeResponse().code == coap::Code::kUnauthorized);
}

TEST_CASE("A large response is sent in blocks and its request runs once") {
  AgentFixture fixture;
  const std::string body(3000, 'b');
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  fixture.Respond(fixture.TakeCall().id, CompleteResponse(200, body));
  std::string received = fixture.TakeResponse().payload;
  for (uint16_t number = 1; number < 3; ++number) {
    coap::Block block;
    block.number = number;
    coap::Message request =
        MakeRequest(coap::Code::kGet, static_cast<uint16_t>(1 + number));
    request.AddUint(coap::OptionNumber::kBlock2, block.Pack());
    fixture.Deliver(request);
    received += fixture.TakeResponse().payload;
  }
  CHECK(received == body);
  CHECK(fixture.TakeCalls().empty());
  // A late retransmission of the request for an earlier block is not answered.
  fixture.Deliver(MakeRequest(coap::Code::kGet, 1));
  CHECK(fixture.TakeResponses().empty());
}

TEST_CASE("A later block of an expired response is refused without a run") {
  AgentFixture fixture;
  coap::Block block;
  block.number = 2;
  coap::Message request = MakeRequest(coap::Code::kGet, 1);
  request.AddUint(coap::OptionNumber::kBlock2, block.Pack());
  fixture.Deliver(request);
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.TakeResponse().payload ==
        R"({"outcome":"not_run","reason":"answer_expired"})");
}

TEST_CASE("An envelope of another service or recipient is refused") {
  AgentFixture fixture;
  const auto refusal = [&](const schema::Envelope& envelope) {
    fixture.sent.clear();
    fixture.Receive(Wrap(envelope));
    REQUIRE(fixture.sent.size() == 1);
    REQUIRE(fixture.sent[0].__isset.misrouted);
    CHECK(fixture.TakeCalls().empty());
    return fixture.sent[0].misrouted.reason;
  };
  const std::string payload = coap::Encode(MakeRequest(coap::Code::kGet, 1));
  schema::Envelope envelope = fixture.MakeEnvelope(payload);
  envelope.recipient = 5;
  CHECK(refusal(envelope) == schema::MisrouteReason::kWrongRecipient);
  // The address has been reassigned to another service.
  envelope = fixture.MakeEnvelope(payload);
  envelope.service_id = 99;
  CHECK(refusal(envelope) == schema::MisrouteReason::kWrongService);
  // A service that this target may not serve.
  envelope = fixture.MakeEnvelope(payload);
  envelope.flow = ToKey({Endpoint(10, 1), kOtherService});
  envelope.service_id = 3;
  CHECK(refusal(envelope) == schema::MisrouteReason::kWrongService);
}

TEST_CASE("An envelope of a later revision is deferred until that revision") {
  AgentFixture fixture;
  schema::Envelope envelope =
      fixture.MakeEnvelope(coap::Encode(MakeRequest(coap::Code::kGet, 1)));
  envelope.revision = 5;
  fixture.sent.clear();
  fixture.Receive(Wrap(envelope));
  CHECK(fixture.TakeCalls().empty());
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent[0].__isset.configuration_fetch);
  fixture.AddService(5, "third", Endpoint(0x7f000103, 5683), "y-*");
  CHECK(fixture.TakeCalls().size() == 1);
}

TEST_CASE("A feed skips intermediate states and ends at a reset") {
  AgentFixture fixture;
  coap::Message request = MakeRequest(coap::Code::kGet, 1);
  request.AddUint(coap::OptionNumber::kObserve, 0);
  fixture.Deliver(request);
  TargetResponse state = CompleteResponse(200, "v1");
  state.entity_tag = "1";
  fixture.Respond(fixture.TakeCall().id, state);
  CHECK(fixture.TakeResponse().Find(coap::OptionNumber::kObserve) != nullptr);
  const auto change = [&](const std::string& version) {
    state.entity_tag = version;
    state.body = "v" + version;
    fixture.Respond(fixture.TakeCall().id, state);
  };
  change("2");
  const coap::Message first_notification = fixture.TakeResponse();
  CHECK(first_notification.type == coap::Type::kConfirmable);
  CHECK(first_notification.payload == "v2");
  change("3");
  change("4");
  CHECK(fixture.TakeResponses().empty());  // v2 is not acknowledged yet.
  coap::Message ack;
  ack.type = coap::Type::kAcknowledgement;
  ack.message_id = first_notification.message_id;
  fixture.Deliver(ack);
  const coap::Message latest = fixture.TakeResponse();
  CHECK(latest.payload == "v4");
  fixture.Tick(seconds(1));  // Unacknowledged: retransmitted.
  CHECK(fixture.TakeResponse().payload == "v4");
  coap::Message reset;
  reset.type = coap::Type::kReset;
  reset.message_id = static_cast<uint16_t>(latest.message_id + 1);
  fixture.Deliver(reset);
  CHECK(fixture.agent().feeds().size() == 0);
}

TEST_CASE("A feed without acknowledgements ends within 80 seconds") {
  AgentFixture fixture;
  coap::Message request = MakeRequest(coap::Code::kGet, 1);
  request.AddUint(coap::OptionNumber::kObserve, 0);
  fixture.Deliver(request);
  TargetResponse state = CompleteResponse(200, "v1");
  state.entity_tag = "1";
  fixture.Respond(fixture.TakeCall().id, state);
  // The keepalive period, then all retransmissions.
  for (int i = 0; i < 80; ++i) fixture.Tick(seconds(1));
  CHECK(fixture.agent().feeds().size() == 0);
  CHECK(fixture.agent().feeds().counters().given_up == 1);
}

TEST_CASE("A peer request runs once, or never if refused or cancelled") {
  AgentFixture fixture;
  schema::RunRequest run;
  run.call = 7;
  run.sender = 42;
  run.service_id = 1;
  run.method = "POST";
  run.path = "/p";
  run.deadline_ms = 5000;
  run.revision = 4;
  run.recipient = fixture.agent().control().self_id().value();
  run.idempotent = false;
  const auto result = [&](int64_t call) {
    run.call = call;
    fixture.sent.clear();
    fixture.Receive(Wrap(run));
    REQUIRE(fixture.sent.size() == 1);
    return fixture.sent[0].run_result.outcome;
  };
  CHECK(result(7) == schema::RunOutcome::kAccepted);
  CHECK(result(7) == schema::RunOutcome::kAccepted);
  const auto calls = fixture.TakeCalls();
  CHECK(calls.size() == 1);
  CHECK(result(8) == schema::RunOutcome::kAccepted);
  CHECK(result(9) == schema::RunOutcome::kNotRun);  // No free slot.
  fixture.Respond(calls[0].id, CompleteResponse(201, "done"));
  CHECK(result(7) == schema::RunOutcome::kAnswered);
  CHECK(result(9) == schema::RunOutcome::kNotRun);  // Also with a free slot.
  schema::RunCancel cancel;
  cancel.call = 10;
  cancel.sender = 42;
  fixture.Receive(Wrap(cancel));
  CHECK(result(10) == schema::RunOutcome::kNotRun);
  fixture.TakeCalls();
  run.recipient = 5;  // Sent to an earlier process: no result may be sent.
  run.call = 11;
  fixture.sent.clear();
  fixture.Receive(Wrap(run));
  CHECK(fixture.sent.empty());
  CHECK(fixture.TakeCalls().empty());
}

TEST_CASE("The body of a response to a peer is sent in parts") {
  PeerRequestTable table(MemberId(1));
  PeerRequestTable::Request request;
  request.sender = MemberId(2);
  request.call = 3;
  request.local_call = CallId(4);
  Outbox out;
  PeerRequestTable::Request& stored = table.Add(request);
  stored.body = std::string(3000, 'x');
  table.Finish(kStart, stored, schema::RunOutcome::kAnswered, out);
  table.SendResult(stored, PeerRequestTable::kPartBytes, out);
  table.SendResult(stored, -1, out);
  table.SendResult(stored, 5000, out);
  const auto actions = out.Take();
  REQUIRE(actions.size() == 4);
  const auto part = [&](size_t i) {
    return std::get<SendToPeer>(actions[i]).message.run_result.part.size();
  };
  CHECK(part(0) == PeerRequestTable::kPartBytes);
  CHECK(part(1) == PeerRequestTable::kPartBytes);
  CHECK(part(2) == 0);
  CHECK(part(3) == 0);
  // The body is dropped first; the outcome is unknown from then on.
  table.Expire(kStart + PeerRequestTable::kBodyRetention + seconds(1));
  CHECK(table.Find(MemberId(2), 3)->outcome == schema::RunOutcome::kUnknown);
  table.Expire(kStart + PeerRequestTable::kRetention + seconds(1));
  CHECK(table.Find(MemberId(2), 3) == nullptr);
}

}  // namespace
}  // namespace sesamesaddle
