/*
 * Messages between instances. Run `make proto` after a change and commit the
 * generated files.
 */

/* Sizes in bytes or entries. */
const PEER_MAC_BYTES = 32;
const PEER_ADDRESS_BYTES = 16;
const PEER_RUMORS_MAX = 24;
const PEER_PAYLOAD_MAX = 16777216;
const PEER_DOCUMENT_MAX = 16000000;
const PEER_MEMBERS_MAX = 1024;

enum peer_member_state_t {
	PEER_MEMBER_ALIVE = 0,
	PEER_MEMBER_SUSPECT = 1,
	PEER_MEMBER_FAILED = 2,
	PEER_MEMBER_LEFT = 3
};

/* State of an instance. The address is IPv6 or IPv4-mapped IPv6. */
struct peer_member_t {
	unsigned hyper id;
	unsigned hyper incarnation;
	opaque address[PEER_ADDRESS_BYTES];
	unsigned int port;
	unsigned int domain;
	peer_member_state_t state;
};

/*
 * State of an endpoint. Gossip can spread it earlier than the endpoint list and
 * the store.
 */
struct peer_endpoint_t {
	unsigned hyper endpoint;
	unsigned hyper incarnation;
	bool leaving;
};

/* The request with this fingerprint was running on an engine that crashed. */
struct peer_crash_t {
	unsigned hyper fingerprint;
	unsigned hyper crash;
};

/* The suspect request with this fingerprint completed. */
struct peer_cleared_t {
	unsigned hyper fingerprint;
};

enum peer_rumor_kind_t {
	PEER_RUMOR_MEMBER = 1,
	PEER_RUMOR_ENDPOINT = 2,
	PEER_RUMOR_CRASH = 3,
	PEER_RUMOR_CLEARED = 4
};

union peer_rumor_t switch (peer_rumor_kind_t kind) {
case PEER_RUMOR_MEMBER:
	peer_member_t member;
case PEER_RUMOR_ENDPOINT:
	peer_endpoint_t endpoint;
case PEER_RUMOR_CRASH:
	peer_crash_t crash;
case PEER_RUMOR_CLEARED:
	peer_cleared_t cleared;
};

/* Part of every gossip message and of its answer. */
struct peer_gossip_t {
	peer_member_t sender;
	unsigned hyper config_position;
	/*
	 * Time since the sender's configuration was last confirmed as current;
	 * UINT32_MAX if unknown.
	 */
	unsigned int config_age_ms;
	peer_rumor_t rumors<PEER_RUMORS_MAX>;
};

enum peer_claim_kind_t {
	PEER_CLAIM_ASK = 1,
	PEER_CLAIM_RUNNING = 2,
	PEER_CLAIM_CLEARED = 3,
	PEER_CLAIM_CRASHED = 4,
	PEER_CLAIM_ABANDONED = 5
};

/*
 * State of an isolated run of a suspect request, or a request for permission to
 * run it (PEER_CLAIM_ASK). Sent to the instance that owns the fingerprint.
 */
struct peer_claim_t {
	peer_claim_kind_t kind;
	unsigned hyper fingerprint;
	unsigned hyper crash;
	unsigned hyper run;
	unsigned int run_ms;
};

enum peer_claim_result_t {
	PEER_CLAIM_GRANTED = 1,
	PEER_CLAIM_WAIT = 2,
	PEER_CLAIM_BLOCKED = 3
};

struct peer_claim_answer_t {
	peer_claim_result_t result;
	unsigned int wait_ms;
};

/* Asks the receiver to probe `target` for the sender. */
struct peer_indirect_t {
	peer_gossip_t gossip;
	peer_member_t target;
};

/* Reports that an indirect probe reached `target`. */
struct peer_indirect_ack_t {
	peer_gossip_t gossip;
	unsigned hyper target;
	unsigned hyper target_incarnation;
};

/* Configuration, or changes to it, up to `position`. */
struct peer_document_t {
	unsigned hyper position;
	opaque document<PEER_DOCUMENT_MAX>;
};

/* Answer to PEER_JOIN: the live members. */
struct peer_members_t {
	peer_gossip_t gossip;
	peer_member_t members<PEER_MEMBERS_MAX>;
};

enum peer_kind_t {
	PEER_PROBE = 1,
	PEER_PUSH = 2,
	PEER_INDIRECT = 3,
	PEER_INDIRECT_ACK = 4,
	PEER_JOIN = 5,
	PEER_CONFIG_FETCH = 6,
	PEER_SNAPSHOT_FETCH = 7,
	PEER_CLAIM = 8,
	PEER_GOSSIP_ANSWER = 100,
	PEER_MEMBERS_ANSWER = 101,
	PEER_DOCUMENT_ANSWER = 102,
	PEER_CLAIM_ANSWER = 103,
	PEER_ERROR_ANSWER = 104
};

union peer_message_t switch (peer_kind_t kind) {
case PEER_PROBE:
case PEER_PUSH:
case PEER_JOIN:
case PEER_GOSSIP_ANSWER:
	peer_gossip_t gossip;
case PEER_INDIRECT:
	peer_indirect_t indirect;
case PEER_INDIRECT_ACK:
	peer_indirect_ack_t indirect_ack;
case PEER_MEMBERS_ANSWER:
	peer_members_t members;
case PEER_CONFIG_FETCH:
	unsigned hyper from_position;
case PEER_SNAPSHOT_FETCH:
	void;
case PEER_DOCUMENT_ANSWER:
	peer_document_t document;
case PEER_CLAIM:
	peer_claim_t claim;
case PEER_CLAIM_ANSWER:
	peer_claim_answer_t claim_answer;
case PEER_ERROR_ANSWER:
	int error;
};

/*
 * The MAC covers all other fields. `session` is a random number of the sending
 * process. `reply_to` is the sequence number of the request in an answer, and 0
 * in a request. `receiver` is 0 while the sender does not know the receiver's
 * id. `challenge` is the number that the receiver's last answer gave, or 0, in
 * a request; and in an answer what the next request has to give.
 */
struct peer_envelope_t {
	unsigned hyper cluster;
	unsigned hyper sender;
	unsigned hyper session;
	unsigned hyper receiver;
	unsigned hyper challenge;
	unsigned hyper sequence;
	unsigned hyper reply_to;
	opaque payload<PEER_PAYLOAD_MAX>;
	opaque mac[PEER_MAC_BYTES];
};

program AMV_PEER_PROGRAM {
	version AMV_PEER_VERSION {
		peer_envelope_t AMV_EXCHANGE(peer_envelope_t) = 1;
	} = 2;
} = 0x20a5a001;
