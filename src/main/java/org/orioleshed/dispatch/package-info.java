/** The decisions of a pool's home: who runs next, where, and who is turned away. */
package org.orioleshed.dispatch;
