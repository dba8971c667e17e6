/*
 * Serves the calls of peers over gRPC.
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
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** What an entry does for its peers. Calls arrive on several threads. */
public interface PeerService {
    /** Answers a call for a claim. */
    public fun claim(message: ClaimMessage): ClaimReply

    /** Releases or completes a claim. */
    public fun resolveClaim(message: ClaimResolutionMessage)

    /** Takes a configuration. */
    public fun configure(message: ConfigurationMessage)

    /** Tells a fresh entry what is known. */
    public fun snapshot(request: SnapshotRequest): SnapshotMessage

    /** Takes observations of workers. */
    public fun observe(message: ObservationsMessage)

    /** Tells whether an instance is drained as far as this entry is concerned. */
    public fun drain(question: DrainQuery): DrainReply
}

/** A running peer server. */
public class PeerServer private constructor(
    private val server: Server,
    private val executor: ExecutorService,
) : AutoCloseable {
    /** The port in use. */
    public val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(STOP_MS, TimeUnit.MILLISECONDS)) server.shutdownNow()
        executor.shutdown()
    }

    public companion object {
        private const val STOP_MS = 500L
        private const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
        private const val THREADS = 32

        /** Starts serving [service] to peers that know [token]. Throws [ListenException] when the address is taken. */
        public fun start(
            address: ListenAddress,
            token: Secret,
            service: PeerService,
        ): PeerServer {
            val executor = Executors.newFixedThreadPool(THREADS) { task -> Thread(task, "peer").apply { isDaemon = true } }
            val server =
                NettyServerBuilder
                    .forAddress(InetSocketAddress(address.host, address.port))
                    .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                    .executor(executor)
                    .intercept(TokenCheck(token))
                    .addService(definition(service))
                    .build()
            try {
                server.start()
            } catch (e: IOException) {
                executor.shutdown()
                throw ListenException(address, e)
            }
            return PeerServer(server, executor)
        }

        private fun definition(service: PeerService): ServerServiceDefinition =
            ServerServiceDefinition
                .builder(PeerMethods.SERVICE)
                .addMethod(PeerMethods.CLAIM, answering(service::claim))
                .addMethod(PeerMethods.RESOLVE_CLAIM, answering { acknowledged { service.resolveClaim(it) } })
                .addMethod(PeerMethods.CONFIGURE, answering { acknowledged { service.configure(it) } })
                .addMethod(PeerMethods.SNAPSHOT, answering(service::snapshot))
                .addMethod(PeerMethods.OBSERVE, answering { acknowledged { service.observe(it) } })
                .addMethod(PeerMethods.DRAIN, answering(service::drain))
                .build()

        private fun <Q, A> answering(answer: (Q) -> A): ServerCallHandler<Q, A> =
            ServerCalls.asyncUnaryCall { question, observer ->
                observer.onNext(answer(question))
                observer.onCompleted()
            }

        private inline fun acknowledged(action: () -> Unit): Acknowledgement {
            action()
            return Acknowledgement()
        }
    }
}

internal val PEER_TOKEN_KEY: Metadata.Key<String> = Metadata.Key.of("entry-token", Metadata.ASCII_STRING_MARSHALLER)

private class TokenCheck(
    private val token: Secret,
) : ServerInterceptor {
    override fun <Q, A> interceptCall(
        call: ServerCall<Q, A>,
        headers: Metadata,
        next: ServerCallHandler<Q, A>,
    ): ServerCall.Listener<Q> {
        if (token.matches(headers.get(PEER_TOKEN_KEY))) return next.startCall(call, headers)
        call.close(Status.UNAUTHENTICATED.withDescription("a peer's token is needed"), Metadata())
        return object : ServerCall.Listener<Q>() {}
    }
}
