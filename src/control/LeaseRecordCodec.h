#ifndef CONTROL_LEASERECORDCODEC_H
#define CONTROL_LEASERECORDCODEC_H

#include "decision/LeaseRecord.h"
#include "lacewing/ObjectKey.h"
#include "lacewing/Outcome.h"
#include "lacewing/ShardId.h"

#include <string>

namespace lacewing {

/** Store key of a shard's lease: "lease/<shard>". */
ObjectKey LeaseKey(ShardId aShard);

/** A lease object as CBOR. */
std::string EncodeLease(const LeaseRecord& aRecord);

/** Fails with kInvalidMessage. */
Outcome<LeaseRecord> DecodeLease(const std::string& aBytes);

} // namespace lacewing

#endif // CONTROL_LEASERECORDCODEC_H
