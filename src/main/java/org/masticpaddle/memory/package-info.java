/** Limits the memory that a process keeps for its peers. */
package org.masticpaddle.memory;
