/*
 * The fleet that the stand-ins present: groups of instances with consecutive ports.
 */
package io.corianderrock.standins

import io.corianderrock.protocol.toml.Validated
import io.corianderrock.protocol.toml.decodeToml
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.io.File

/** A fleet of instance groups. */
@Serializable
public data class FleetFile(
    @SerialName("group") val groups: List<InstanceGroup> = emptyList(),
) {
    /** All instances of the fleet, as a platform lists them at first. */
    public fun instances(): List<ListedInstance> = groups.flatMap { it.instances() }

    public companion object {
        /** Reads the fleet from [path]. Throws [IllegalArgumentException] with every problem of the file. */
        public fun read(path: File): FleetFile =
            when (val result = decodeToml(serializer(), path.name, path.readText())) {
                is Validated.Valid -> result.value.value
                is Validated.Invalid -> throw IllegalArgumentException(result.problems.joinToString("\n"))
            }
    }
}

/** [count] instances `idPrefix-0`, `idPrefix-1`, ... on consecutive ports, [workersPerRack] to a rack. */
@Serializable
public data class InstanceGroup(
    val idPrefix: String,
    val role: InstanceRole,
    val dataCentre: String,
    val host: String = "127.0.0.1",
    val basePort: Int,
    val count: Int,
    val workersPerRack: Int = 4,
) {
    internal fun instances(): List<ListedInstance> =
        (0 until count).map { index ->
            ListedInstance(
                id = "$idPrefix-$index",
                role = role,
                dataCentre = dataCentre,
                rack = "$idPrefix-rack-${index / workersPerRack}",
                host = host,
                port = basePort + index,
                state = ListedState.LIVE,
            )
        }
}
