@0xb64a1c9d27e0f385;
# Frames on a TCP link between two instances.

struct Frame {
  union {
    # Sign of life. The leader is 0 when none is known.
    heartbeat :group {
      revision @0 :UInt64;
      leader @1 :UInt64;
    }
    agreement @2 :Agreement;
    # Request to the control group; the body is encoded by the control crate.
    request :group {
      ticket @3 :UInt64;
      body @4 :Data;
    }
    reply :group {
      ticket @5 :UInt64;
      body @6 :Data;
    }
    # Difference between two revisions, encoded by the control crate.
    settings @7 :Data;
    # Revision in force on the sender; also asks for the changes since then.
    report @8 :UInt64;
    formation @9 :Formation;
    goodbye @10 :Void;
  }
}

# What a listed member knows about the first members of the group.
struct Formation {
  disk @0 :UInt64;
  formed @1 :Bool;
  members @2 :List(MemberDisk);
}

struct MemberDisk {
  id @0 :UInt64;
  disk @1 :UInt64;
}

# Message between two replicas of the log.
struct Agreement {
  fromDisk @0 :UInt64;
  toDisk @1 :UInt64;
  term @2 :UInt64;
  body :union {
    preVote :group {
      lastIndex @3 :UInt64;
      lastTerm @4 :UInt64;
    }
    preVoteReply @5 :Bool;
    vote :group {
      lastIndex @6 :UInt64;
      lastTerm @7 :UInt64;
      transfer @8 :Bool;
    }
    voteReply @9 :Bool;
    append :group {
      prevIndex @10 :UInt64;
      prevTerm @11 :UInt64;
      commit @12 :UInt64;
      entries @13 :List(Entry);
    }
    matched @14 :UInt64;
    conflict :group {
      prevIndex @15 :UInt64;
      hintIndex @16 :UInt64;
      hintTerm @17 :UInt64;
      # Whether the follower has an entry at the previous index.
      hasHintTerm @18 :Bool;
    }
    heartbeat :group {
      commit @19 :UInt64;
      round @20 :UInt64;
    }
    heartbeatReply @21 :UInt64;
    snapshotChunk @22 :SnapshotChunk;
    snapshotReply :group {
      index @23 :UInt64;
      offset @24 :UInt64;
    }
    timeoutNow @25 :Void;
    refused @26 :UInt64;
  }
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload :union {
    empty @2 :Void;
    data @3 :Data;
    members @4 :Members;
  }
}

struct Members {
  current @0 :List(Member);
  retired @1 :List(MemberDisk);
}

struct Member {
  id @0 :UInt64;
  disk @1 :UInt64;
  voter @2 :Bool;
}

struct SnapshotChunk {
  index @0 :UInt64;
  snapshotTerm @1 :UInt64;
  members @2 :Members;
  totalBytes @3 :UInt64;
  totalChecksum @4 :UInt64;
  offset @5 :UInt64;
  data @6 :Data;
  checksum @7 :UInt64;
}
