package hysrelay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	// The messages are found by their names.
	_ "hyssopshore/internal/gen/front"
	_ "hyssopshore/internal/gen/peer"
	"hyssopshore/internal/hyssuite"
)

// messageOfBuild is a message between daemons as an earlier build has it, in
// testdata/messages.json.
type messageOfBuild struct {
	Build  string         `json:"build"`
	Name   string         `json:"message"`
	Fields []fieldOfBuild `json:"fields"`
}

// fieldOfBuild is a field of such a message.
type fieldOfBuild struct {
	Number  protoreflect.FieldNumber `json:"number"`
	Name    string                   `json:"name"`
	Kind    string                   `json:"kind"`
	Message string                   `json:"message"`
	List    bool                     `json:"list"`
}

// Guards against changes of messages that daemons of an earlier build can't read, or that
// this build reads wrongly. Fields may be added, and a string may become bytes, which
// look the same.
var _ = Describe("the messages between daemons", func() {
	var messages []messageOfBuild
	hyssuite.Read("messages.json", &messages)
	for _, m := range messages {
		It("have what they had at "+m.Build+": "+m.Name, func() {
			found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(m.Name))
			Expect(err).NotTo(HaveOccurred())
			fields := found.(protoreflect.MessageDescriptor).Fields()
			for _, was := range m.Fields {
				is := fields.ByNumber(was.Number)
				Expect(is).NotTo(BeNil(), was.Name)
				Expect(is.IsList()).To(Equal(was.List), was.Name)
				kinds := []string{was.Kind}
				if was.Kind == protoreflect.StringKind.String() {
					kinds = append(kinds, protoreflect.BytesKind.String())
				}
				Expect(is.Kind().String()).To(BeElementOf(kinds), was.Name)
				if was.Message != "" {
					Expect(string(is.Message().FullName())).To(Equal(was.Message), was.Name)
				}
			}
		})
	}
})
