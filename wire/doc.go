// Package wire holds the messages between routers, generated from peer.proto.
//
// Regenerate with protoc, protoc-gen-go and protoc-gen-go-drpc on the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	  --go-drpc_out=. --go-drpc_opt=paths=source_relative wire/peer.proto
package wire
