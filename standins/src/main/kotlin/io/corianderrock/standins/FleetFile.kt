/*
 * The file that defines the simulated fleet: groups of instances with consecutive ports.
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

/** Contents of a fleet file. */
@Serializable
public data class FleetFile(
    @SerialName("group") val groups: List<InstanceGroup> = emptyList(),
) {
    /** All instances of the fleet in their initial state. */
    public fun instances(): List<ListedInstance> = groups.flatMap { it.instances() }

    public companion object {
        /** Reads the fleet from [path]. Throws [IllegalArgumentException] with all problems of the file, one per line. */
        public fun read(path: File): FleetFile =
            when (val result = decodeToml(serializer(), path.name, path.readText())) {
                is Validated.Valid -> result.value.value
                is Validated.Invalid -> throw IllegalArgumentException(result.problems.joinToString("\n"))
            }
    }
}

/**
 * A group of [count] instances with the ids `idPrefix-0`, `idPrefix-1`, ... on consecutive ports from [basePort],
 * [workersPerRack] in each rack.
 */
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
