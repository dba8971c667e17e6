/*
 * A platform whose calls fail before or after taking effect, as the test chooses for each call.
 */
package io.corianderrock.coordination

/** DOWN: the call fails without effect. ANSWER_LOST: the call takes effect, but the caller sees a failure. */
internal enum class PlatformFault { NONE, DOWN, ANSWER_LOST }

/** Asks [nextFault] for the fault of each call, with the name of its step. */
internal class FaultyPlatform(
    private val inner: MemoryPlatform = MemoryPlatform(),
    private val nextFault: (String) -> PlatformFault,
) : Platform {
    override fun read(key: String) = withFault("read") { inner.read(key) }

    override fun scan(
        prefix: String,
        sinceRevision: Long,
    ) = withFault("scan") { inner.scan(prefix, sinceRevision) }

    override fun transact(transaction: Transaction) = withFault("transact") { inner.transact(transaction) }

    override fun putIfAbsent(
        key: String,
        content: String,
    ) = withFault("put") { inner.putIfAbsent(key, content) }

    override fun fetch(key: String) = withFault("fetch") { inner.fetch(key) }

    override fun instances(sinceRevision: Long) = withFault("list") { inner.instances(sinceRevision) }

    override fun reboot(
        instanceId: String,
        requestId: String,
    ) = withFault("reboot") { inner.reboot(instanceId, requestId) }

    private fun <T> withFault(
        step: String,
        call: () -> PlatformResult<T>,
    ): PlatformResult<T> =
        when (nextFault(step)) {
            PlatformFault.NONE -> call()
            PlatformFault.DOWN -> PlatformResult.Failed(step, "fake", "down", mayHaveApplied = false)
            PlatformFault.ANSWER_LOST -> {
                call()
                PlatformResult.Failed(step, "fake", "answer lost", mayHaveApplied = true)
            }
        }
}
