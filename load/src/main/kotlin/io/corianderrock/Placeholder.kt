package io.corianderrock

internal object Placeholder
