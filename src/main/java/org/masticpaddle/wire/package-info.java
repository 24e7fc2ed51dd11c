/** HTTP server and client on Undertow, the JSON codec, and the messages between processes of masticpaddle. */
package org.masticpaddle.wire;
