/*
 * gRPC server for the calls of other entries.
 */
package io.corianderrock.transport

import io.corianderrock.protocol.Acknowledgement
import io.corianderrock.protocol.ClaimMessage
import io.corianderrock.protocol.ClaimReply
import io.corianderrock.protocol.ClaimResolutionMessage
import io.corianderrock.protocol.ConfigurationMessage
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.CompletionStage
import java.util.concurrent.Executor
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Operations that an entry offers to its peers. Methods run concurrently on the threads of the peer server. */
public interface PeerService {
    /** Claims a key for the requesting entry. The decision may wait for the platform and must not hold the thread meanwhile. */
    public fun claim(message: ClaimMessage): CompletionStage<ClaimReply>

    /** Releases or completes a claim. */
    public fun resolveClaim(message: ClaimResolutionMessage)

    /** Accepts a configuration from a peer. */
    public fun configure(message: ConfigurationMessage)

    /** Returns a snapshot of the state known to this entry, for an entry that has just started. */
    public fun snapshot(request: SnapshotRequest): SnapshotMessage

    /** Accepts observations of workers from a peer. */
    public fun observe(message: ObservationsMessage)

    /** Returns whether this entry has drained the instance named in [query]. */
    public fun drain(query: DrainQuery): DrainReply
}

/** A running gRPC server for peers. */
public class PeerServer private constructor(
    private val server: Server,
    private val executor: ExecutorService,
) : AutoCloseable {
    /** The bound port; differs from the configured one if that was 0. */
    public val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)) server.shutdownNow()
        executor.shutdown()
    }

    public companion object {
        private const val SHUTDOWN_TIMEOUT_MS = 500L
        private const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
        private const val EXECUTOR_THREADS = 32

        /** Serves [service] to peers that send [token]. Throws [ListenException] if the address cannot be bound. */
        public fun start(
            address: ListenAddress,
            token: Secret,
            service: PeerService,
        ): PeerServer {
            val executor = Executors.newFixedThreadPool(EXECUTOR_THREADS) { task -> Thread(task, "peer").apply { isDaemon = true } }
            val server =
                NettyServerBuilder
                    .forAddress(InetSocketAddress(address.host, address.port))
                    .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                    .executor(executor)
                    .intercept(PeerTokenInterceptor(token))
                    .addService(serviceDefinition(service, executor))
                    .build()
            try {
                server.start()
            } catch (e: IOException) {
                executor.shutdown()
                throw ListenException(address, e)
            }
            return PeerServer(server, executor)
        }

        private fun serviceDefinition(
            service: PeerService,
            executor: Executor,
        ): ServerServiceDefinition =
            ServerServiceDefinition
                .builder(PeerMethods.SERVICE)
                .addMethod(PeerMethods.CLAIM, asyncHandler(executor, service::claim))
                .addMethod(PeerMethods.RESOLVE_CLAIM, unaryHandler { acknowledge { service.resolveClaim(it) } })
                .addMethod(PeerMethods.CONFIGURE, unaryHandler { acknowledge { service.configure(it) } })
                .addMethod(PeerMethods.SNAPSHOT, unaryHandler(service::snapshot))
                .addMethod(PeerMethods.OBSERVE, unaryHandler { acknowledge { service.observe(it) } })
                .addMethod(PeerMethods.DRAIN, unaryHandler(service::drain))
                .build()

        private fun <Req, Resp> unaryHandler(handle: (Req) -> Resp): ServerCallHandler<Req, Resp> =
            ServerCalls.asyncUnaryCall { request, observer ->
                observer.onNext(handle(request))
                observer.onCompleted()
            }

        /** The reply is sent on [executor], since the thread that completes it may have thousands of claims to complete. */
        private fun <Req, Resp> asyncHandler(
            executor: Executor,
            handle: (Req) -> CompletionStage<Resp>,
        ): ServerCallHandler<Req, Resp> =
            ServerCalls.asyncUnaryCall { request, observer ->
                handle(request).whenCompleteAsync({ reply, failure ->
                    if (failure == null) {
                        observer.onNext(reply)
                        observer.onCompleted()
                    } else {
                        observer.onError(Status.UNKNOWN.withCause(failure).asRuntimeException())
                    }
                }, executor)
            }

        private inline fun acknowledge(action: () -> Unit): Acknowledgement {
            action()
            return Acknowledgement()
        }
    }
}

internal val PEER_TOKEN_KEY: Metadata.Key<String> = Metadata.Key.of("entry-token", Metadata.ASCII_STRING_MARSHALLER)

private class PeerTokenInterceptor(
    private val token: Secret,
) : ServerInterceptor {
    override fun <Req, Resp> interceptCall(
        call: ServerCall<Req, Resp>,
        headers: Metadata,
        next: ServerCallHandler<Req, Resp>,
    ): ServerCall.Listener<Req> {
        if (token.matches(headers.get(PEER_TOKEN_KEY))) return next.startCall(call, headers)
        call.close(Status.UNAUTHENTICATED.withDescription("metadata entry-token is missing or is not the peer token"), Metadata())
        return object : ServerCall.Listener<Req>() {}
    }
}
