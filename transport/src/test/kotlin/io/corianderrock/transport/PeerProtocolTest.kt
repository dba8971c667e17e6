/*
 * Covers what entries tell each other about configurations and accounts, also to entries of another release.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.accounts.keyDigest
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.ownership.ConfigurationSighting
import io.corianderrock.jobs.ownership.PeerDirectory
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.Pool
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.QueueRoute
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

private val CONFIGURATION =
    JobsConfiguration(
        version = 7,
        routes = listOf(QueueRoute("h", "/a/", Queue("q", "p", priority = 1), isPublic = true)),
        pools = mapOf("p" to Pool("p", checksAdmission = true)),
        accounts = mapOf("one" to ClientAccount("one", 105.0, 1, Demand(5, 6), setOf(keyDigest("secret")))),
    )

internal class PeerProtocolTest :
    DescribeSpec({
        describe("a configuration") {
            it("reaches a peer whole, with routes, pools and accounts, and without keys") {
                val answer = handler().handle(Request(Method.GET, "/peer/configuration")).bodyString()
                val decoded = decodePeerConfiguration(answer).shouldNotBeNull()
                decoded shouldBe CONFIGURATION
                decoded.route("h", "/a/1").shouldNotBeNull()
                ("secret" in answer) shouldBe false
            }
            it("keeps no accounts apart from none configured") {
                for (accounts in listOf(null, emptyMap<String, ClientAccount>())) {
                    decodePeerConfiguration(encodePeerConfiguration(CONFIGURATION.copy(accounts = accounts)))?.accounts shouldBe accounts
                }
            }
            it("that a peer does not have or that is damaged is none") {
                handler(configuration = null).handle(Request(Method.GET, "/peer/configuration")).status shouldBe Status.NOT_FOUND
                val text = encodePeerConfiguration(CONFIGURATION)
                for (length in 0 until text.length) decodePeerConfiguration(text.take(length)).shouldBeNull()
                decodePeerConfiguration("[".repeat(20_000)).shouldBeNull()
            }
        }
        describe("a configuration with many routes") {
            val routes = List(1_700) { QueueRoute("host$it.example", "/path$it/", Queue("queue$it", "p", priority = 1)) }
            val large = CONFIGURATION.copy(routes = routes)
            val request = Request(Method.GET, "/peer/configuration")

            // Guards against entries that keep an old configuration, as a slow link does not carry the new one to all that ask (CONFIG).
            it("is sent in a tenth of its size to peers that take it compressed") {
                val compressed = handler(configuration = large).handle(request.header("Accept-Encoding", "gzip")).bytes()
                compressed.size shouldBeLessThan encodePeerConfiguration(large).length / 10
                decodePeerConfiguration(compressed) shouldBe large
            }
            it("is sent as it is to peers of an earlier release") {
                decodePeerConfiguration(handler(configuration = large).handle(request).bytes()) shouldBe large
            }
            it("is compressed anew for each version") {
                var current = CONFIGURATION
                val handler = handler { current }
                for (version in 7L..9L) {
                    current = CONFIGURATION.copy(version = version)
                    val answer = handler.handle(request.header("Accept-Encoding", "gzip"))
                    decodePeerConfiguration(answer.bytes())?.version shouldBe version
                }
            }
            it("is none if its compressed form is damaged") {
                val compressed = handler().handle(request.header("Accept-Encoding", "gzip")).bytes()
                for (length in 0 until compressed.size) decodePeerConfiguration(compressed.copyOf(length)).shouldBeNull()
            }
        }
        describe("a status") {
            it("has the version and the age of its confirmation") {
                val answer = handler().handle(Request(Method.GET, "/peer/status")).bodyString()
                answer shouldContain "\"configurationVersion\":7"
                answer shouldContain "\"configurationConfirmedAgoMs\":90"
            }
        }
        describe("a forwarded request") {
            it("carries the access of its caller, and reaches all jobs if an entry without accounts sent it") {
                val asked = ArrayList<JobRequest>()
                val handler = handler(asked)
                for (access in listOf(""","access":{"account":"one"}""", "")) {
                    handler.handle(Request(Method.POST, "/peer/jobs").body("""{"kind":"STATE","id":"j","queueName":"q"$access}"""))
                    handler.handle(Request(Method.POST, "/peer/jobs").body("""{"kind":"CANCEL","id":"j","queueName":"q"$access}"""))
                }
                asked shouldBe
                    listOf(JobAccess("one"), JobAccess.ALL).flatMap {
                        listOf(JobRequest.State("j", "q", it), JobRequest.Cancel("j", "q", it))
                    }
            }
        }
    })

private fun Response.bytes(): ByteArray = body.stream.readBytes()

private fun handler(
    asked: MutableList<JobRequest> = ArrayList(),
    configuration: JobsConfiguration? = CONFIGURATION,
): PeerJobsHandler = handler(asked) { configuration }

private fun handler(
    asked: MutableList<JobRequest> = ArrayList(),
    configuration: () -> JobsConfiguration?,
): PeerJobsHandler =
    PeerJobsHandler(
        loop = ThreadEventLoop("test"),
        scheduler = { request, onReply ->
            asked += request
            onReply(SchedulerReply.Answer(CallerAnswer.NotFound))
        },
        directory = PeerDirectory("self"),
        status = { PeerStatus(null, isOwner = false, canWrite = true, configuration = ConfigurationSighting(7, 90)) },
        configuration = configuration,
    )
