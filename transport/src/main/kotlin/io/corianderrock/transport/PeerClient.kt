/*
 * Calls peers over gRPC.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.claim.ClaimDecision
import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.coordination.claim.PeerClaims
import io.corianderrock.coordination.request.UpstreamResponse
import io.corianderrock.protocol.ClaimResolutionMessage
import io.corianderrock.protocol.ConfigurationMessage
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.corianderrock.protocol.asDecision
import io.corianderrock.protocol.asMessage
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.MetadataUtils
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Finds the peers' address of an entry instance. */
public fun interface PeerAddresses {
    /** Returns the address of [instance] as IP number, colon and port, or null when it is not known. */
    public fun of(instance: String): String?
}

/** Calls peers; each call takes at most [callTimeoutMs]. Results are null when no answer arrived. */
public class PeerClient(
    private val addresses: PeerAddresses,
    token: Secret,
    private val callTimeoutMs: Long = 600,
) : PeerClaims,
    AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()
    private val credentials =
        MetadataUtils.newAttachHeadersInterceptor(Metadata().apply { put(PEER_TOKEN_KEY, token.reveal()) })

    override fun claim(
        instance: String,
        request: ClaimRequest,
    ): ClaimDecision? = invoke(instance, PeerMethods.CLAIM, request.asMessage())?.asDecision()

    override fun release(
        instance: String,
        key: String,
        attempt: String,
    ): Boolean = invoke(instance, PeerMethods.RESOLVE_CLAIM, ClaimResolutionMessage(key, attempt)) != null

    override fun complete(
        instance: String,
        key: String,
        attempt: String,
        response: UpstreamResponse,
    ): Boolean = invoke(instance, PeerMethods.RESOLVE_CLAIM, ClaimResolutionMessage(key, attempt, response.asMessage())) != null

    /** Hands a configuration to [instance]. */
    public fun configure(
        instance: String,
        message: ConfigurationMessage,
    ): Boolean = invoke(instance, PeerMethods.CONFIGURE, message) != null

    /** Asks [instance] for what it knows. */
    public fun snapshot(
        instance: String,
        request: SnapshotRequest,
    ): SnapshotMessage? = invoke(instance, PeerMethods.SNAPSHOT, request)

    /** Hands observations to [instance]. */
    public fun observe(
        instance: String,
        message: ObservationsMessage,
    ): Boolean = invoke(instance, PeerMethods.OBSERVE, message) != null

    /** Asks [instance] whether it has drained an instance. */
    public fun drain(
        instance: String,
        question: DrainQuery,
    ): DrainReply? = invoke(instance, PeerMethods.DRAIN, question)

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    private fun <Q, A> invoke(
        instance: String,
        method: MethodDescriptor<Q, A>,
        question: Q,
    ): A? {
        val address = addresses.of(instance) ?: return null
        val options = CallOptions.DEFAULT.withDeadlineAfter(callTimeoutMs, TimeUnit.MILLISECONDS)
        return try {
            ClientCalls.blockingUnaryCall(channelTo(address), method, options, question)
        } catch (_: StatusRuntimeException) {
            null
        }
    }

    private fun channelTo(address: String): ManagedChannel =
        channels.computeIfAbsent(address) {
            NettyChannelBuilder
                .forTarget("dns:///$address")
                .usePlaintext()
                .disableRetry()
                .intercept(credentials)
                .build()
        }
}
