/** Runs hosts as processes of their own under faults, and checks what callers and servers saw. */
package org.orioleshed.soak;
