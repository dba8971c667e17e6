/*
 * Metrics endpoint: requests, decisions and their durations.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.storerate.StoreCall
import io.corianderrock.jobs.storerate.StoreCallClass
import io.corianderrock.jobs.storerate.StoreCallEnd
import io.corianderrock.jobs.storerate.StoreCallKind
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Status

internal class EntryMetricsTest :
    DescribeSpec({
        describe("the metrics endpoint") {
            it("counts requests by method and status") {
                val metrics = EntryMetrics()
                metrics.onRequest("POST", 200, 7)
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_job_request_duration_seconds_count{method=\"POST\",status=\"200\"} 1"
            }
            it("counts decisions, records their durations and forwards them to the wrapped log") {
                val written = ArrayList<String>()
                val metrics = EntryMetrics()
                metrics.observing(DecisionLog { event, _ -> written.add(event) }).write("task_started", "task", "t", "waitedMs", 30L)
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_decisions_total{event=\"task_started\"} 1"
                text shouldContain "corianderrock_decision_duration_seconds_count{event=\"task_started\",time=\"waitedMs\"} 1"
                written shouldContainExactly listOf("task_started")
            }
            // Guards against a number of time series that grows with each account ever configured.
            it("counts events of client accounts and shows their usage, with a bounded number of labels") {
                val metrics = EntryMetrics()
                val log = metrics.observing { _, _ -> }
                repeat(300) { log.write("account_usage", "account", "a$it", "runs", 2, "cpuMilli", 3_500L) }
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_account_decisions_total{account=\"a0\",event=\"account_usage\"} 1"
                text shouldContain "corianderrock_account_usage{account=\"a0\",resource=\"cpuMilli\"} 3500"
                text shouldContain "corianderrock_account_decisions_total{account=\"other\",event=\"account_usage\"} 100"
                log.write("ownership_lost")
                metrics.handle(Request(Method.GET, "/metrics")).bodyString() shouldNotContain "account_usage{account"
            }

            // Guards against refusals that cannot be told apart by account, and against a label for each error text.
            it("counts refused jobs by account and reason, with a bounded number of labels") {
                val metrics = EntryMetrics()
                val log = metrics.observing { _, _ -> }
                repeat(2) { log.write("job_refused", "job", "j$it", "account", "acme", "reason", "share") }
                log.write("job_refused", "job", "j3", "account", null, "reason", "load")
                repeat(300) { log.write("job_refused", "job", "k$it", "account", "a$it", "reason", "owner: error $it") }
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_refused_jobs_total{account=\"acme\",reason=\"share\"} 2"
                text shouldContain "corianderrock_refused_jobs_total{account=\"none\",reason=\"load\"} 1"
                text shouldContain "corianderrock_refused_jobs_total{account=\"a0\",reason=\"unreachable\"} 1"
                text shouldContain "corianderrock_refused_jobs_total{account=\"other\",reason=\"unreachable\"} 101"
                text.lines().count { it.startsWith("corianderrock_refused_jobs_total{") } shouldBe 202
            }

            // Guards against a store that is kept full by calls of which no log tells.
            it("counts calls to the store by class, kind and outcome") {
                val metrics = EntryMetrics()
                val claim = StoreCall(StoreCallClass.OWNERSHIP, StoreCallKind.WRITE)
                repeat(2) { metrics.onStoreCall(claim, StoreCallEnd.Refused(StoreRefusal())) }
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_store_calls_total{class=\"ownership\",kind=\"write\",outcome=\"refused\"} 2"
            }

            // Guards against errors of run times that no metric shows, and against a label for each queue name ever seen.
            it("shows the errors of run times by queue, for a bounded number of queues") {
                val metrics = EntryMetrics()
                val log = metrics.observing(DecisionLog { _, _ -> })
                repeat(500) { log.write("run_time_accuracy", "queue", "q$it", "runs", 40, "medianRatio", 1.25, "beyondUpperShare", 0.1) }
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_run_time_ratio{queue=\"q0\"} 1.25"
                text shouldContain "corianderrock_run_time_beyond_upper_ratio{queue=\"q0\"} 0.1"
                text.lines().count { it.startsWith("corianderrock_run_time_ratio{") } shouldBe 128
            }

            // Guards against moves that served no caller and that no metric shows.
            it("counts moves by whether they served work") {
                val metrics = EntryMetrics()
                val log = metrics.observing(DecisionLog { _, _ -> })
                repeat(3) { log.write("move_outcome", "instance", "m$it", "pool", "p", "served", "true", "reason", "ran") }
                log.write("move_outcome", "instance", "m4", "pool", "p", "served", "false", "reason", "no_run")
                val text = metrics.handle(Request(Method.GET, "/metrics")).bodyString()
                text shouldContain "corianderrock_moves_total{reason=\"ran\",served=\"true\"} 3"
                text shouldContain "corianderrock_moves_total{reason=\"no_run\",served=\"false\"} 1"
            }
            it("responds with 404 on other paths") {
                EntryMetrics().handle(Request(Method.GET, "/")).status shouldBe Status.NOT_FOUND
            }
        }
    })
