/*
 * gRPC client of the calls to other entries.
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
import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.MetadataUtils
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Resolves an entry instance to the address of its peer server. */
public fun interface PeerAddresses {
    /** Returns the address of [instance] as `ip:port`, or null if it is unknown. */
    public fun of(instance: String): String?
}

/** A call to a peer that got no response: [cause] is the status of the transport, or tells that the address is unknown. */
public data class PeerCallFailure(
    val instance: String,
    val method: String,
    val cause: String,
    val tookMs: Long,
)

/**
 * Calls peers. Each call but a claim, which is given a time of its own, blocks for at most [callTimeoutMs]; none is retried. A
 * result of null or false means that no response arrived; the peer may still have run the call, and [onFailure] tells why.
 */
public class PeerClient(
    private val addresses: PeerAddresses,
    token: Secret,
    private val callTimeoutMs: Long = 600,
    private val onFailure: (PeerCallFailure) -> Unit = {},
) : PeerClaims,
    AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()
    private val answeredAddresses: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val credentials =
        MetadataUtils.newAttachHeadersInterceptor(Metadata().apply { put(PEER_TOKEN_KEY, token.reveal()) })

    override fun claim(
        instance: String,
        request: ClaimRequest,
        timeoutMs: Long,
    ): ClaimDecision? = invoke(instance, PeerMethods.CLAIM, request.asMessage(), timeoutMs)?.asDecision()

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

    /** Sends a configuration to [instance]; returns true once [instance] has acknowledged it. */
    public fun configure(
        instance: String,
        message: ConfigurationMessage,
    ): Boolean = invoke(instance, PeerMethods.CONFIGURE, message) != null

    /** Fetches a snapshot of the state known to [instance]. */
    public fun snapshot(
        instance: String,
        request: SnapshotRequest,
    ): SnapshotMessage? = invoke(instance, PeerMethods.SNAPSHOT, request)

    /** Sends observations of workers to [instance]; returns true once [instance] has acknowledged them. */
    public fun observe(
        instance: String,
        message: ObservationsMessage,
    ): Boolean = invoke(instance, PeerMethods.OBSERVE, message) != null

    /** Asks [instance] whether it has drained the instance named in [query]. */
    public fun drain(
        instance: String,
        query: DrainQuery,
    ): DrainReply? = invoke(instance, PeerMethods.DRAIN, query)

    /**
     * Opens the connection to [instance] if there is none. Returns true once a call over it has been answered, so that later calls
     * wait neither for the connection nor for code that both sides run for the first time. May block for a call.
     */
    public fun connect(instance: String): Boolean {
        val address = addresses.of(instance) ?: return false
        if (channelTo(address).getState(true) != ConnectivityState.READY) return false
        if (address in answeredAddresses) return true
        // The release of a claim that nobody holds has no effect.
        val isAnswered = release(instance, key = "", attempt = "")
        if (isAnswered) answeredAddresses.add(address)
        return isAnswered
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    private fun <Req, Resp> invoke(
        instance: String,
        method: MethodDescriptor<Req, Resp>,
        request: Req,
        timeoutMs: Long = callTimeoutMs,
    ): Resp? {
        val startedNs = System.nanoTime()
        val address = addresses.of(instance)
        if (address == null) {
            onFailure(PeerCallFailure(instance, method.bareMethodName.orEmpty(), "ADDRESS_UNKNOWN", tookMs = 0))
            return null
        }
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            ClientCalls.blockingUnaryCall(channelTo(address), method, options, request)
        } catch (e: StatusRuntimeException) {
            val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs)
            onFailure(PeerCallFailure(instance, method.bareMethodName.orEmpty(), causeOf(e), tookMs))
            null
        }
    }

    private fun causeOf(failure: StatusRuntimeException): String =
        listOfNotNull(failure.status.code, failure.status.description, failure.cause).joinToString(": ")

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
