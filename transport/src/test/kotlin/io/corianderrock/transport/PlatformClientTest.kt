/*
 * Calls to the platform beside requests to other hosts.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.PlatformResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import okhttp3.Connection
import okhttp3.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

internal class PlatformClientTest :
    DescribeSpec({
        describe("a thread that holds the lock of a connection of the requests' client") {
            // Guards against commits of the claim log that wait for request threads without a core (key-owner-unreachable).
            it("does not hold up a call to the platform") {
                HttpServer.start(ListenAddress("127.0.0.1", 0), handler = { Response(Status.OK).body("""{"row":null}""") }).use { server ->
                    val url = "http://127.0.0.1:${server.port}"
                    var used: Connection? = null
                    val requests =
                        newHttpClient()
                            .newBuilder()
                            .addNetworkInterceptor { chain ->
                                used = chain.connection()
                                chain.proceed(chain.request())
                            }.build()
                    requests.newCall(Request.Builder().url(url).build()).execute().close()
                    val platform = PlatformClient(url, callTimeoutMs = 2_000)
                    synchronized(checkNotNull(used)) {
                        val read = CompletableFuture.supplyAsync { platform.read("key") }
                        read.get(10, TimeUnit.SECONDS).shouldBeInstanceOf<PlatformResult.Ok<*>>()
                    }
                }
            }
        }
    })
