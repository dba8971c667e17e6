/*
 * Actions of the event loop that fail. Guards against a thread or a timer that ends with one of them.
 */
package io.corianderrock.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

internal class ThreadEventLoopTest :
    DescribeSpec({
        describe("an action that throws") {
            for (failure in listOf(IllegalStateException("action"), StackOverflowError())) {
                it("does not keep the next ones and the timers from running: ${failure.javaClass.simpleName}") {
                    ThreadEventLoop("loop-test").use { loop ->
                        val posted = CompletableFuture<Boolean>()
                        val delayed = CompletableFuture<Boolean>()
                        loop.after(20) { delayed.complete(true) }
                        loop.post { throw failure }
                        loop.after(1) { throw failure }
                        loop.post { posted.complete(true) }
                        posted.get(2, TimeUnit.SECONDS) shouldBe true
                        delayed.get(2, TimeUnit.SECONDS) shouldBe true
                    }
                }
            }

            // Guards against a process that goes on half alive, with what the action had begun left undone (LOST).
            it("ends the process if it has run out of memory") {
                val ended = CompletableFuture<Boolean>()
                ThreadEventLoop("loop-test", onOutOfMemory = { ended.complete(true) }).use { loop ->
                    loop.post { throw OutOfMemoryError("action") }
                    ended.get(2, TimeUnit.SECONDS) shouldBe true
                }
            }
        }
    })
