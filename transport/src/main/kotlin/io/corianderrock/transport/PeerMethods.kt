/*
 * gRPC method descriptors of the calls between entries. Messages are marshalled by kotlinx.serialization, so there is no
 * generated code.
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
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.grpc.MethodDescriptor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.ByteArrayInputStream
import java.io.InputStream

internal object PeerMethods {
    const val SERVICE = "corianderrock.Peer"

    val CLAIM = unary("Claim", ClaimMessage.serializer(), ClaimReply.serializer())
    val RESOLVE_CLAIM = unary("Settle", ClaimResolutionMessage.serializer(), Acknowledgement.serializer())
    val CONFIGURE = unary("Configure", ConfigurationMessage.serializer(), Acknowledgement.serializer())
    val SNAPSHOT = unary("Snapshot", SnapshotRequest.serializer(), SnapshotMessage.serializer())
    val OBSERVE = unary("Observe", ObservationsMessage.serializer(), Acknowledgement.serializer())
    val DRAIN = unary("Drain", DrainQuery.serializer(), DrainReply.serializer())

    private fun <Req, Resp> unary(
        name: String,
        requestSerializer: KSerializer<Req>,
        responseSerializer: KSerializer<Resp>,
    ): MethodDescriptor<Req, Resp> =
        MethodDescriptor
            .newBuilder(ProtoBufMarshaller(requestSerializer), ProtoBufMarshaller(responseSerializer))
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
            .build()
}

@OptIn(ExperimentalSerializationApi::class)
private class ProtoBufMarshaller<T>(
    private val serializer: KSerializer<T>,
) : MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = ByteArrayInputStream(ProtoBuf.encodeToByteArray(serializer, value))

    override fun parse(stream: InputStream): T = ProtoBuf.decodeFromByteArray(serializer, stream.readAllBytes())
}
