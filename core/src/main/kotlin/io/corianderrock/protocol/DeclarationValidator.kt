/*
 * The validation rules of a complete set of declarations, applied before the set is published.
 */
package io.corianderrock.protocol

import io.corianderrock.protocol.toml.Problem
import io.corianderrock.state.BudgetSpec
import io.corianderrock.state.Declarations
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.TeamSpec
import io.corianderrock.state.WaveSpec

/**
 * Validates one set of declarations and collects every violation, with its file and line from [sourceLocations]. Single
 * use.
 */
internal class DeclarationValidator(
    private val sourceLocations: DeclarationLocations,
) {
    private val problems = ArrayList<Problem>()
    private var poolNames: Set<String> = emptySet()

    fun validate(declarations: Declarations): List<Problem> {
        poolNames = declarations.pools.map { it.name }.toSet()
        checkNames("pool", declarations.pools.map { it.name })
        checkNames("service", declarations.services.map { it.name })
        checkNames("team", declarations.teams.map { it.name })
        checkNames("budget", declarations.budgets.map { it.name })
        checkNames("wave", declarations.waves.map { it.name })
        declarations.pools.forEach(::checkPool)
        declarations.services.forEach { checkService(it, declarations) }
        declarations.teams.forEach(::checkTeam)
        declarations.budgets.forEach { checkBudget(it, declarations) }
        declarations.waves.forEach { checkWave(it, declarations) }
        checkPrefixes(declarations.services)
        if (declarations.services.isEmpty()) problems += Problem("(set)", 0, "service", "none", "declare at least one service")
        return problems
    }

    private fun checkNames(
        kind: String,
        names: List<String>,
    ) {
        names.distinct().filterNot { NAME.matches(it) }.forEach {
            report(kind, it, "name", "\"$it\"", "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter")
        }
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.forEach { (name, count) ->
            report(kind, name, "name", "\"$name\" $count times", "give each $kind a unique name", occurrence = 1)
        }
    }

    private fun checkPool(pool: PoolSpec) {
        checkRange("pool", pool.name, "workersPerDataCentre", pool.workersPerDataCentre, 1..MAX_WORKERS)
        checkRange("pool", pool.name, "slotsPerWorker", pool.slotsPerWorker, 1..MAX_SLOTS)
        checkRange("pool", pool.name, "connectionsPerWorker", pool.connectionsPerWorker, pool.slotsPerWorker..MAX_CONNECTIONS)
    }

    private fun checkService(
        service: ServiceSpec,
        declarations: Declarations,
    ) {
        checkPoolReference("service", service.name, "pool", service.pool)
        service.sparePool?.let { checkSparePool(service, it, declarations) }
        if (!service.pathPrefix.startsWith("/")) {
            report("service", service.name, "pathPrefix", "\"${service.pathPrefix}\"", "start it with /")
        }
        checkRange("service", service.name, "requestTimeoutMs", service.requestTimeoutMs, 1L..MAX_TIMEOUT_MS)
        checkRange("service", service.name, "shortRunTimeMs", service.shortRunTimeMs, 1L..service.requestTimeoutMs.coerceAtLeast(1))
        checkRange("service", service.name, "queueLimit", service.queueLimit, 1..MAX_QUEUED_REQUESTS)
        checkRange("service", service.name, "maxBodyBytes", service.maxBodyBytes, 1..MAX_BODY_BYTES)
        checkRange("service", service.name, "latencyObjectiveMs", service.latencyObjectiveMs, 1L..MAX_TIMEOUT_MS)
        checkRange("service", service.name, "longShare", service.longShare, MIN_LONG_SHARE..MAX_LONG_SHARE)
        checkRange("service", service.name, "availabilityObjective", service.availabilityObjective, MIN_AVAILABILITY..MAX_AVAILABILITY)
        service.routes.filterNot { it.pathPrefix.startsWith(service.pathPrefix) }.forEach {
            report("service", service.name, "route.pathPrefix", "\"${it.pathPrefix}\"", "start it with the service's ${service.pathPrefix}")
        }
    }

    private fun checkSparePool(
        service: ServiceSpec,
        sparePool: String,
        declarations: Declarations,
    ) {
        checkPoolReference("service", service.name, "sparePool", sparePool)
        val pool = declarations.poolNamed(sparePool) ?: return
        if (sparePool == service.pool) report("service", service.name, "sparePool", "the service's own pool", "name another pool")
        if (!pool.spare) report("service", service.name, "sparePool", "\"$sparePool\"", "name a pool that is declared with spare = true")
    }

    private fun checkTeam(team: TeamSpec) {
        checkRange("team", team.name, "weight", team.weight, 1..MAX_WEIGHT)
        checkRange("team", team.name, "requestsPerSecond", team.requestsPerSecond, MIN_REQUESTS_PER_SECOND..MAX_REQUESTS_PER_SECOND)
        checkRange("team", team.name, "burstRequests", team.burstRequests, 1..MAX_BURST_REQUESTS)
    }

    private fun checkBudget(
        budget: BudgetSpec,
        declarations: Declarations,
    ) {
        checkPoolReference("budget", budget.name, "pool", budget.pool)
        checkRange("budget", budget.name, "maxUnavailable", budget.maxUnavailable, 1..MAX_WORKERS)
        checkRange(
            "budget",
            budget.name,
            "maxUnavailablePerDataCentre",
            budget.maxUnavailablePerDataCentre,
            1..budget.maxUnavailable.coerceAtLeast(1),
        )
        checkRange(
            "budget",
            budget.name,
            "failureReserve",
            budget.failureReserve,
            0..(budget.maxUnavailablePerDataCentre - 1).coerceAtLeast(0),
        )
        val poolBudgets = declarations.budgets.filter { it.pool == budget.pool }
        if (poolBudgets.size > 1 && poolBudgets.first() !== budget) {
            report("budget", budget.name, "pool", "another budget of pool \"${budget.pool}\"", "declare one budget per pool")
        }
        val size = declarations.poolNamed(budget.pool)?.workersPerDataCentre ?: return
        if (budget.maxUnavailablePerDataCentre >= size) {
            val allowed = "use a value below $size, the number of workers of the pool in each data centre"
            report("budget", budget.name, "maxUnavailablePerDataCentre", "${budget.maxUnavailablePerDataCentre}", allowed)
        }
    }

    private fun checkWave(
        wave: WaveSpec,
        declarations: Declarations,
    ) {
        if (wave.pools.isEmpty()) report("wave", wave.name, "pools", "none", "name at least one pool")
        wave.pools.forEach { checkPoolReference("wave", wave.name, "pools", it) }
        wave.pools.filter { it in poolNames && declarations.budgetOf(it) == null }.forEach {
            report("wave", wave.name, "pools", "\"$it\" without a budget", "declare a budget for pool \"$it\"")
        }
        checkRange("wave", wave.name, "canarySize", wave.canarySize, 1..MAX_WAVE_INSTANCES)
        checkRange("wave", wave.name, "stopAfterFailures", wave.stopAfterFailures, 1..MAX_WAVE_INSTANCES)
        checkRange("wave", wave.name, "drainTimeoutMs", wave.drainTimeoutMs, MIN_PHASE_MS..MAX_PHASE_MS)
        checkRange("wave", wave.name, "verifyTimeoutMs", wave.verifyTimeoutMs, MIN_PHASE_MS..MAX_PHASE_MS)
    }

    private fun checkPrefixes(services: List<ServiceSpec>) {
        services.groupBy { it.pathPrefix }.filterValues { it.size > 1 }.forEach { (prefix, conflicting) ->
            val names = conflicting.joinToString { it.name }
            report("service", conflicting.last().name, "pathPrefix", "\"$prefix\" in $names", "give each service a unique path prefix")
        }
    }

    private fun checkPoolReference(
        kind: String,
        name: String,
        key: String,
        pool: String,
    ) {
        if (pool in poolNames) return
        report(kind, name, key, "\"$pool\", which is not a declared pool", "name one of ${poolNames.sorted().joinToString()}")
    }

    private fun <T : Comparable<T>> checkRange(
        kind: String,
        name: String,
        key: String,
        value: T,
        range: ClosedRange<T>,
    ) {
        if (value !in range) report(kind, name, key, value.toString(), "use a value from ${range.start} to ${range.endInclusive}")
    }

    private fun report(
        kind: String,
        name: String,
        key: String,
        found: String,
        allowed: String,
        occurrence: Int = 0,
    ) {
        val location = sourceLocations.locationOf(kind, name, occurrence)
        problems += Problem(location.file, location.line, "$kind \"$name\" $key", found, allowed)
    }

    private companion object {
        val NAME = Regex("[a-z][a-z0-9-]{0,62}")
        const val MAX_WORKERS = 20_000
        const val MAX_SLOTS = 1_024
        const val MAX_CONNECTIONS = 65_536
        const val MAX_TIMEOUT_MS = 86_400_000L
        const val MAX_QUEUED_REQUESTS = 1_000_000
        const val MAX_BODY_BYTES = 67_108_864
        const val MAX_WEIGHT = 1_000
        const val MIN_REQUESTS_PER_SECOND = 0.001
        const val MAX_REQUESTS_PER_SECOND = 1_000_000.0
        const val MAX_BURST_REQUESTS = 1_000_000
        const val MIN_LONG_SHARE = 0.01
        const val MAX_LONG_SHARE = 0.99
        const val MIN_AVAILABILITY = 0.5
        const val MAX_AVAILABILITY = 0.999999
        const val MAX_WAVE_INSTANCES = 1_000
        const val MIN_PHASE_MS = 100L
        const val MAX_PHASE_MS = 86_400_000L
    }
}
