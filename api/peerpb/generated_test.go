package peerpb

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/testing/protocmp"
)

// TestGeneratedMatchesSource parses the .proto files and compares them with the
// descriptors in the committed generated code, so that neither can change
// alone. It needs no generator.
func TestGeneratedMatchesSource(t *testing.T) {
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	generated := map[string]protoreflect.FileDescriptor{
		"spread.proto":  File_spread_proto,
		"control.proto": File_control_proto,
		"insight.proto": File_insight_proto,
		"relay.proto":   File_relay_proto,
		"kept.proto":    File_kept_proto,
	}
	for name, have := range generated {
		files, err := compiler.Compile(context.Background(), name)
		if err != nil {
			t.Fatal(err)
		}
		want := protodesc.ToFileDescriptorProto(files[0])
		got := protodesc.ToFileDescriptorProto(have)
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("%s and its generated code differ (-source +generated):\n%s", name, diff)
		}
	}
}
