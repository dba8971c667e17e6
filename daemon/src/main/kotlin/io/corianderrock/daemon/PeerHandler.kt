/*
 * Serves the gRPC calls of peer entries.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.request.ServiceDirectory
import io.corianderrock.protocol.ClaimMessage
import io.corianderrock.protocol.ClaimReply
import io.corianderrock.protocol.ClaimResolutionMessage
import io.corianderrock.protocol.ConfigurationMessage
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.corianderrock.protocol.asReply
import io.corianderrock.protocol.asRequest
import io.corianderrock.protocol.asResponse
import io.corianderrock.state.Configuration
import io.corianderrock.state.Declarations
import io.corianderrock.transport.PeerService
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletionStage

/** Serves claims, configurations, observations and drain queries from the state of this entry. */
public class PeerHandler(
    private val claims: ClaimOwner,
    private val sync: FleetSync,
    private val directory: ServiceDirectory,
) : PeerService {
    override fun claim(message: ClaimMessage): CompletionStage<ClaimReply> =
        claims.claimAsync(message.asRequest()).thenApply { it.asReply() }

    override fun resolveClaim(message: ClaimResolutionMessage) {
        val answer = message.answer
        if (answer ==
            null
        ) {
            claims.release(message.key, message.attempt)
        } else {
            claims.complete(message.key, message.attempt, answer.asResponse())
        }
    }

    override fun configure(message: ConfigurationMessage) {
        sync.offer(message.asConfiguration())
    }

    override fun snapshot(request: SnapshotRequest): SnapshotMessage {
        val configuration = sync.configuration
        if (configuration.version == 0L) return SnapshotMessage()
        return SnapshotMessage(Json.encodeToString(Configuration.serializer(), configuration))
    }

    override fun observe(message: ObservationsMessage) {
        message.observations.forEach { sync.observe(it) }
    }

    override fun drain(query: DrainQuery): DrainReply {
        val seenEpoch = sync.fleet.rows[query.instance]?.epoch ?: 0
        if (seenEpoch < query.epoch) sync.poll()
        sync.updateRoutingTable()
        val hasSeenEpoch = (sync.fleet.rows[query.instance]?.epoch ?: 0) >= query.epoch
        val isClosed = directory.isClosed(query.instance)
        return DrainReply(hasSeenEpoch && isClosed, directory.usedSlots(query.instance))
    }
}

/** The wire message of this configuration. */
internal fun Configuration.asMessage(): ConfigurationMessage =
    ConfigurationMessage(version, blob, changeId, author, Json.encodeToString(Declarations.serializer(), declarations))

/** The configuration in this wire message. */
internal fun ConfigurationMessage.asConfiguration(): Configuration =
    Configuration(version, blob, changeId, author, Json.decodeFromString(Declarations.serializer(), declarationsJson))
