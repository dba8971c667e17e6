/*
 * Prometheus metrics of an entry that schedules jobs.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.storerate.StoreCall
import io.corianderrock.jobs.storerate.StoreCallEnd
import io.corianderrock.jobs.storerate.StoreCallKind
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.ConcurrentHashMap

/** Counts callers' requests and the scheduler's decisions and records their durations. Thread-safe. */
public class EntryMetrics {
    private val registry = PrometheusRegistry()

    private val requests =
        Histogram
            .builder()
            .name("corianderrock_job_request_duration_seconds")
            .help("Time from the receipt of a caller's request to its answer, by method and status.")
            .labelNames("method", "status")
            .classicUpperBounds(*REQUEST_BUCKETS_S)
            .classicOnly()
            .register(registry)

    private val refusedCalls =
        Counter
            .builder()
            .name("corianderrock_refused_calls_total")
            .help("Calls that were refused for their key, by reason.")
            .labelNames("reason")
            .register(registry)

    private val storeCalls =
        Counter
            .builder()
            .name("corianderrock_store_calls_total")
            .help("Calls to the store by purpose, kind and outcome; withheld calls were not sent.")
            .labelNames("class", "kind", "outcome")
            .register(registry)

    private val storeBudgetLevel =
        Gauge
            .builder()
            .name("corianderrock_store_budget_level")
            .help(
                "Share of the usual rate at which this entry calls the store; 1 while the store is sound, absent before the first change.",
            ).labelNames("kind")
            .register(registry)

    private val decisions =
        Counter
            .builder()
            .name("corianderrock_decisions_total")
            .help("Events of the decision log.")
            .labelNames("event")
            .register(registry)

    private val decisionTimes =
        Histogram
            .builder()
            .name("corianderrock_decision_duration_seconds")
            .help("Times that events of the decision log report: how long a task waited, a job or a call took.")
            .labelNames("event", "time")
            .classicUpperBounds(*DECISION_BUCKETS_S)
            .classicOnly()
            .register(registry)

    private val accountDecisions =
        Counter
            .builder()
            .name("corianderrock_account_decisions_total")
            .help("Events of the decision log that concern a client account.")
            .labelNames("event", "account")
            .register(registry)

    private val refusedJobs =
        Counter
            .builder()
            .name("corianderrock_refused_jobs_total")
            .help("Jobs that this entry refused, by client account and reason.")
            .labelNames("account", "reason")
            .register(registry)

    private val accountUsage =
        Gauge
            .builder()
            .name("corianderrock_account_usage")
            .help("What the runs of a client account occupy, as last logged by the owner; absent at other entries.")
            .labelNames("account", "resource")
            .register(registry)

    /** Accounts that have a label of their own; the scheduler logs configured accounts only. */
    private val accounts = ConcurrentHashMap.newKeySet<String>()

    private val runTimeRatio =
        Gauge
            .builder()
            .name("corianderrock_run_time_ratio")
            .help("Median ratio of run times to their estimates in the last report of a queue; 1 is unbiased.")
            .labelNames("queue")
            .register(registry)

    private val runTimeBeyondUpper =
        Gauge
            .builder()
            .name("corianderrock_run_time_beyond_upper_ratio")
            .help("Share of runs that exceeded their estimated 0.9 quantile in the last report of a queue; 0.1 is calibrated.")
            .labelNames("queue")
            .register(registry)

    /** Queues with a label; further ones are left out, so that the number of labels is bounded. */
    private val judgedQueues = ConcurrentHashMap.newKeySet<String>()

    private val moves =
        Counter
            .builder()
            .name("corianderrock_moves_total")
            .help("Evaluated moves of instances into serving pools, by whether the instance ran work within the peak and why not.")
            .labelNames("served", "reason")
            .register(registry)

    /** Records a caller's request that was answered with [status], [tookMs] after its receipt. */
    public fun onRequest(
        method: String,
        status: Int,
        tookMs: Long,
    ): Unit = requests.labelValues(method, status.toString()).observe(tookMs / MS_PER_S)

    /** Counts a call that was refused for its key. */
    public fun onCallRefused(reason: String): Unit = refusedCalls.labelValues(reason).inc()

    /** Counts a call to the store that has ended. */
    public fun onStoreCall(
        call: StoreCall,
        end: StoreCallEnd,
    ): Unit = storeCalls.labelValues(call.callClass.label, call.kind.label, end.label).inc()

    /** Records the level of the budget for calls of [kind] to the store. */
    public fun onStoreBudgetLevel(
        kind: StoreCallKind,
        level: Double,
    ): Unit = storeBudgetLevel.labelValues(kind.label).set(level)

    /** Wraps [log] so that each event is counted and its durations are recorded before it is written to [log]. */
    public fun observing(log: DecisionLog): DecisionLog =
        DecisionLog { event, fields ->
            observe(event, fields)
            log.write(event, *fields)
        }

    private fun observe(
        event: String,
        fields: Array<out Any?>,
    ) {
        decisions.labelValues(event).inc()
        if (event.startsWith(ACCOUNT_EVENT_PREFIX)) observeAccount(event, fields)
        if (event == OWNERSHIP_LOST_EVENT) accountUsage.clear()
        if (event == JOB_REFUSED_EVENT) observeRefusal(fields)
        if (event == RUN_TIME_EVENT) observeRunTimes(fields)
        if (event == MOVE_EVENT) moves.labelValues(valueOf(fields, "served").toString(), valueOf(fields, "reason").toString()).inc()
        for (index in 0 until fields.size - 1 step 2) {
            val key = fields[index]
            val value = fields[index + 1]
            if (key in TIME_KEYS && value is Number) decisionTimes.labelValues(event, key.toString()).observe(value.toDouble() / MS_PER_S)
        }
    }

    private fun observeAccount(
        event: String,
        fields: Array<out Any?>,
    ) {
        val account = labelOf(valueOf(fields, "account")?.toString() ?: return)
        accountDecisions.labelValues(event, account).inc()
        if (event != ACCOUNT_USAGE_EVENT) return
        for (resource in ACCOUNT_RESOURCES) {
            (valueOf(fields, resource) as? Number)?.let { accountUsage.labelValues(account, resource).set(it.toDouble()) }
        }
    }

    private fun observeRefusal(fields: Array<out Any?>) {
        val account = valueOf(fields, "account")?.toString()?.let(::labelOf) ?: NO_ACCOUNT
        val reason = valueOf(fields, "reason").toString().takeIf { it in OWNER_REASONS } ?: UNREACHABLE_REASON
        refusedJobs.labelValues(account, reason).inc()
    }

    private fun observeRunTimes(fields: Array<out Any?>) {
        val queue = valueOf(fields, "queue")?.toString() ?: return
        if (queue !in judgedQueues && (judgedQueues.size >= MAX_JUDGED_QUEUES || !judgedQueues.add(queue))) return
        (valueOf(fields, "medianRatio") as? Number)?.let { runTimeRatio.labelValues(queue).set(it.toDouble()) }
        (valueOf(fields, "beyondUpperShare") as? Number)?.let { runTimeBeyondUpper.labelValues(queue).set(it.toDouble()) }
    }

    private fun valueOf(
        fields: Array<out Any?>,
        key: String,
    ): Any? = (0 until fields.size - 1 step 2).firstOrNull { fields[it] == key }?.let { fields[it + 1] }

    private fun labelOf(account: String): String {
        if (account in accounts) return account
        if (accounts.size >= MAX_ACCOUNT_LABELS) return OTHER_ACCOUNTS
        accounts.add(account)
        return account
    }

    /** Serves `/metrics` in the Prometheus text format; other paths get a 404. */
    public fun handle(request: Request): Response {
        if (request.uri.path != PATH) return Response(Status.NOT_FOUND)
        return Response(Status.OK).header("Content-Type", METRICS_CONTENT_TYPE).body(registry.renderText())
    }

    private companion object {
        const val PATH = "/metrics"
        const val MS_PER_S = 1_000.0
        const val ACCOUNT_EVENT_PREFIX = "account_"
        const val ACCOUNT_USAGE_EVENT = "account_usage"
        const val OWNERSHIP_LOST_EVENT = "ownership_lost"
        val ACCOUNT_RESOURCES = listOf("runs", "cpuMilli", "memoryMb")

        /** Bounds the labels over many versions of the configuration; far above the accounts of a deployment. */
        const val MAX_ACCOUNT_LABELS = 200
        const val OTHER_ACCOUNTS = "other"

        /** Label of jobs of public routes. */
        const val NO_ACCOUNT = "none"
        const val JOB_REFUSED_EVENT = "job_refused"

        /** Reasons for which the owner refuses a job. Those of other entries quote errors, which would make labels without bound. */
        val OWNER_REASONS = setOf("load", "share")
        const val UNREACHABLE_REASON = "unreachable"
        const val MOVE_EVENT = "move_outcome"
        const val RUN_TIME_EVENT = "run_time_accuracy"

        /** Above the number of queues of the largest deployment, 88. */
        const val MAX_JUDGED_QUEUES = 128
        val TIME_KEYS = setOf("tookMs", "waitedMs")

        /** Bucket bounds from the usual latency of some milliseconds to the callers' deadline of 3 s. */
        val REQUEST_BUCKETS_S = doubleArrayOf(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0)

        /** Bucket bounds for task waits, which range from milliseconds to half a minute. */
        val DECISION_BUCKETS_S = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
    }
}
